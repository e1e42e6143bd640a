# Functions to start and end processes on loopback, included with `source`. The script must set: me (its
# name in messages), work (a directory for logs, with the programs in bin/), pids (an empty array),
# ready_tries and end_tries (numbers of attempts, 0.1 s apart).

fail() {
  printf '%s: %s\n' "$me" "$*" >&2
  exit 1
}

# start NAME PROGRAM ARGUMENT... runs a process in the background with its log in the work directory, and
# adds its id to pids.
start() {
  local name="$1"
  shift
  "$work/bin/$1" "${@:2}" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# stop PID... terminates processes that were started here. It kills those that have not exited after
# end_tries attempts and returns 1 in that case.
stop() {
  local pid tries remaining="$*"
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for ((tries = 0; tries < end_tries; tries++)); do
    remaining=""
    for pid in "$@"; do if kill -0 "$pid" 2>/dev/null; then remaining+="$pid "; fi; done
    [[ -n "$remaining" ]] || return 0
    sleep 0.1
  done
  printf '%s: killed processes that did not exit: %s\n' "$me" "$remaining" >&2
  for pid in $remaining; do kill -KILL "$pid" 2>/dev/null || true; done
  return 1
}

# http METHOD IP:PORT PATH [BODY] sends a request and prints status line, headers and body.
http() {
  local body="${4:-}"
  { exec 3<>"/dev/tcp/${2%:*}/${2##*:}"; } 2>/dev/null || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" "$2" "${#body}" "$body" >&3
  cat <&3
  exec 3<&- 3>&-
}

# wait_for IP:PORT PATH polls until the status is 200. The script fails after ready_tries attempts.
wait_for() {
  local tries
  for ((tries = 0; tries < ready_tries; tries++)); do
    if [[ "$(http GET "$1" "$2" 2>/dev/null | head -n 1)" == *" 200 "* ]]; then return 0; fi
    sleep 0.1
  done
  fail "http://$1$2 was not ready in time"
}
