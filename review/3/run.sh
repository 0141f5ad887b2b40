#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
tool=target/review/release/review-tool
[ -x "$tool" ] && [ -x target/release/skylark-gateway ] || exit 2
"$tool" frozen review/3/record.txt &
pid=$!
# The tool ends its processes itself, unless it is stopped from outside.
trap 'kill -KILL $(cat /proc/$pid/task/$pid/children 2>/dev/null) $pid 2>/dev/null; exit 2' INT TERM
wait "$pid"
