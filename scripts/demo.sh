#!/usr/bin/env bash
# Builds everything, starts a whole system on free loopback ports, sends one generation,
# kills its engine half way, and prints what became of the answer. Exit 0 only if whole.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins
exec target/release/tealshore-lab demo "$@"
