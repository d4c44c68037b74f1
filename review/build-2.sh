#!/usr/bin/env bash
# Builds what the cases 6 to 10 start: the operators' program and the stand-ins. It needs no network and no package
# beyond those of the project. The stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p lynxtally-cli
out=target/review-2
mkdir -p "$out"
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [[ $name == common || $name == dns ]] && continue
    rustc --edition 2021 -O --crate-name "$name" -o "$out/$name" "$source"
done
