#!/bin/sh
# Builds every stand-in and runner that the scripts of review/11 to review/15 start.
# Needs no network: the package has no dependencies.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline \
    --manifest-path review/standins-3/Cargo.toml
