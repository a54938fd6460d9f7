#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10), after the build of the deploy file. Needs no network: the
# packages are those of the project.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/world-2/Cargo.toml
