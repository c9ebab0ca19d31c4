#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the daemon of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/tests/site/Cargo.toml
