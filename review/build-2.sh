#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10), after the build of the deploy file. Needs no network: the
# packages are those of the project, at the versions of its own lock file.
set -eu
cd "$(dirname "$0")/.."
cp Cargo.lock review/world-2/Cargo.lock
cargo build --offline --release --manifest-path review/world-2/Cargo.toml
