#!/usr/bin/env bash
# Builds the program of the second review: the stand-ins of the platform, the engines and the
# clients, and the cases. It has no dependency and needs no network. The gateway itself is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
