#!/usr/bin/env bash
# run-2.sh CASE FOLDER: runs a case of the second review in a temporary folder, and ends all
# processes that it has started. Exits with 1 if the rule was broken, with 0 if it held and
# with 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/release/review-2
for file in "$program" target/release/skylark-gateway; do
  [ -x "$file" ] || { echo "$file is missing: build it first" >&2; exit 2; }
done
folder=$(mktemp -d "${TMPDIR:-/tmp}/review-2.XXXXXX") || exit 2
end_all() {
  kill "$case" 2>/dev/null
  while read -r process; do
    # The number may belong to another program by now.
    grep -qs skylark-gateway "/proc/$process/cmdline" && kill -9 "$process" 2>/dev/null
  done < <(cat "$folder/processes" 2>/dev/null)
  rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM
REVIEW_FOLDER=$folder timeout 118 "$program" "$1" "$2" &
case=$!
wait "$case"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
