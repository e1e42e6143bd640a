# Functions for scripts that start processes on loopback and end them; read with `source`. The script
# sets before: me (its name in messages), work (a directory for logs, with the programs in bin/), pids
# (an array, empty at first), ready_tries and end_tries (of 0.1 s each).

fail() {
  printf '%s: %s\n' "$me" "$*" >&2
  exit 1
}

# start NAME PROGRAM ARGUMENT... runs a process with its log in the work directory.
start() {
  local name="$1"
  shift
  "$work/bin/$1" "${@:2}" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# stop PID... asks processes that were started here to end, and kills what has not after a while: then
# it returns 1.
stop() {
  local pid tries left="$*"
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for ((tries = 0; tries < end_tries; tries++)); do
    left=""
    for pid in "$@"; do if kill -0 "$pid" 2>/dev/null; then left+="$pid "; fi; done
    [[ -n "$left" ]] || return 0
    sleep 0.1
  done
  printf '%s: killed what did not end by itself: %s\n' "$me" "$left" >&2
  for pid in $left; do kill -KILL "$pid" 2>/dev/null || true; done
  return 1
}

# http METHOD IP:PORT PATH [BODY] prints status line, headers and body.
http() {
  local body="${4:-}"
  { exec 3<>"/dev/tcp/${2%:*}/${2##*:}"; } 2>/dev/null || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" "$2" "${#body}" "$body" >&3
  cat <&3
  exec 3<&- 3>&-
}

# wait_for IP:PORT PATH polls until the answer is 200.
wait_for() {
  local tries
  for ((tries = 0; tries < ready_tries; tries++)); do
    if [[ "$(http GET "$1" "$2" 2>/dev/null | head -n 1)" == *" 200 "* ]]; then return 0; fi
    sleep 0.1
  done
  fail "http://$1$2 wasn't ready in time"
}
