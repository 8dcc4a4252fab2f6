#!/usr/bin/env bash
# Runs the program as separate processes under random faults, and checks each promise.
#   soak.sh [--seed N] [--seeds K] [--seconds S] [--jobs J] [--logs FOLDER] [--stop-at-first]
#   soak.sh --from COMMIT [--mix forward|back|half] ...
# runs mixed fleets: some processes are of the build of that commit, from this repository's history. forward (without
# --mix): the first process of each host; back: all later ones; half: those of each second host.
# Without --seed it draws one. The last line is
#   soak: seeds=N held=N broken=N faults=N requests=N crashes=N
# A broken seed prints its promises, the requests that show them, and where its logs lie.
set -euo pipefail
cd "$(dirname "$0")/.."
mixed=()
others=()
mix=forward
while (($#)); do
  case $1 in
    --from) from=$2; shift 2 ;;
    --mix) mix=$2; shift 2 ;;
    *) others+=("$1"); shift ;;
  esac
done
set -- "${others[@]}"
if [[ -n ${from:-} ]]; then
  commit=$(git rev-parse --verify "$from^{commit}")
  folder=target/builds/$commit
  if [[ ! -x $folder/tealshore-platform ]]; then
    mkdir -p "$folder/source"
    git archive "$commit" | tar -x -C "$folder/source"
    CARGO_TARGET_DIR=target/builds/shared cargo build -q --locked -p tealshore-platform \
      --manifest-path "$folder/source/Cargo.toml"
    cp target/builds/shared/debug/tealshore-platform "$folder/"
  fi
  mixed=(--other-build "$PWD/$folder/tealshore-platform" --mix "$mix")
fi
seed=()
[[ " $* " == *" --seed "* ]] || seed=(--seed "$RANDOM")
exec cargo test -q -p tealshore-platform --test soak -- "${seed[@]}" "${mixed[@]}" "$@"
