#!/usr/bin/env bash
# Runs this case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec review/run-2.sh leader review/8
