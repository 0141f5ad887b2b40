#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
tool=target/review/release/review-tool
[ -x "$tool" ] && [ -x target/release/skylark-gateway ] || exit 2
exec "$tool" frozen review/3/record.txt
