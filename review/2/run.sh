#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 117 node target/review/2.cjs &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' INT TERM
wait "$pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
