#!/usr/bin/env bash
# Builds the stand-ins and the cases. No network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/tool/Cargo.toml --target-dir target/review
