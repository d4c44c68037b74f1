#!/usr/bin/env bash
# Builds what the scripts of the cases start: the project's program for streams and names, which the build of the deploy
# file leaves out, and the drivers of the cases, which need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p lynxtally-cli
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    [[ $name == common ]] || rustc --edition 2021 -O -o "target/review/$name" "$source"
done
