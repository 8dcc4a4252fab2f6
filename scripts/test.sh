#!/usr/bin/env bash
# Builds everything and runs all tests. The tests with real processes use the programs that
# the first line builds.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins
cargo test --workspace --no-fail-fast -- --test-threads=4
