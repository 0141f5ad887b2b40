#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 does the same without the disruption.
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-3/release/quota_refunds review/11 "$folder"
