#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. Needs the Rust tool chain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/stand-ins-2/main.rs -o target/review-2/stand-ins
