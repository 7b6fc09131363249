#!/usr/bin/env bash
# Builds the programs and every stand-in that the scripts of review/9 to review/13 start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --bins
cargo build --release --offline --manifest-path review/stand-3/Cargo.toml --target-dir target/review-3
