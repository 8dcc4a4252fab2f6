#!/usr/bin/env bash
# Measures: relay (what an entry host adds to a stream), control (what an idle entry host
# costs, and edits), rates (how hosts keep to a limit together). Prints tables and, last, one line of JSON.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ${1:-} == rates ]]; then
  exec cargo run --release -q -p tealshore-rates --example measure_rates
fi
cargo build --release --workspace --bins
exec target/release/tealshore-lab "$@"
