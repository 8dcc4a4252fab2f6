#!/usr/bin/env bash
# Measures: relay (what an entry host adds to a stream), control (what an idle entry host
# costs, and edits). Prints tables and, last, one line of JSON.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins
exec target/release/tealshore-lab "$@"
