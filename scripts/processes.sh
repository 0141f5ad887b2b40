# Functions to start programs in the background with their output in files. The
# programs are stopped when the script that sources this file exits. Expects
# $bin to be the folder of the programs.

folder=$(mktemp -d "${TMPDIR:-/tmp}/skylarkgw.XXXXXX")
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENTS...: starts a program in the background with its
# output in $folder/NAME.log.
start() {
  local name=$1; shift
  "$bin/$1" "${@:2}" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}

# wait_for NAME EXPRESSION: waits until a sed expression prints a line from the
# output of the program, and prints that line. Fails after about 30 seconds and
# prints the output to standard error.
wait_for() {
  local found
  for _ in $(seq 300); do
    found=$(sed -nE "$2" "$folder/$1.log" | head -n 1)
    [ -n "$found" ] && { echo "$found"; return; }
    sleep 0.1
  done
  echo "$1 did not start:" >&2; cat "$folder/$1.log" >&2; exit 1
}

# address NAME INTERFACE: prints the address of an interface of a host: callers
# (for clients), peers or operators.
address() { wait_for "$1" "s/.*\"listening\".*\"$2\":\"([^\"]*)\".*/\\1/p"; }

# Sed expression that prints the address that a stand-in listens on.
listening='s/^listening (.*)$/\1/p'
