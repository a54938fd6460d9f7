#!/bin/sh
# Builds the stand-ins and drivers of the cases. Needs no network: the package has no dependency.
set -e
cd "$(dirname "$0")/standin"
exec cargo build --release --offline
