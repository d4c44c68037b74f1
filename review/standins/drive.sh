#!/usr/bin/env bash
# drive.sh DRIVER FOLDER: runs the driver of a case from the root of the repository, and ends all that it has started.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/review/$1 || ! -x target/release/lynxtally ]]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
# The driver and what it starts are one process group. The driver ends by itself in time.
set -m
"target/review/$1" "$2" &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
((code <= 2)) || code=2
exit "$code"
