#!/bin/sh
# Builds the stand-ins and clients that the scripts of the second review start. The daemon is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
