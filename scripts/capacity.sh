#!/usr/bin/env bash
# Measures on this machine the figures from which docs/CAPACITY.md is calculated, and prints two tables:
# how the cost of the sync grows with the number of VMs (burdock-capacity), and how that of the query path
# grows with the number of leaf calls per query (one availability zone with two VMs in front of stand-in
# leaves). Runs for at most five minutes and ends only the processes that it started, by process id. Needs
# Go, a C compiler and make.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly vms=2
readonly leaf_port=9001 control_port=9002
readonly ready_tries=600 end_tries=100 # 0.1 s apart
readonly token="token-of-the-capacity-run"
readonly run_limit=285 # seconds; the rest of the five minutes is for ending the processes
# One line per service: name, shards, service time, searches per second in the run that measures CPU time.
readonly services=("q10 10 2ms 200" "q30 30 2ms 100" "q100 100 2ms 40" "slow 30 6s 0")
readonly in_flight=200 # searches in flight, of 30 shards each
readonly orders=8000   # tickets

parts=sync,query
sizes=(8 32 128)
phase=6s

usage() {
  printf 'usage: capacity.sh [--parts sync,query] [--sizes "8 32 128"] [--phase 6s]\n'
  exit "$1"
}

while (($# > 0)); do
  case "$1" in
    --parts) parts="$2" && shift 2 ;;
    --sizes) read -ra sizes <<<"$2" && shift 2 ;;
    --phase) phase="$2" && shift 2 ;;
    --help) usage 0 ;;
    *) usage 2 >&2 ;;
  esac
done

work="$(mktemp -d)"
pids=()
declare -A role_pid
net="127.$((RANDOM % 100 + 130)).$((RANDOM % 250 + 1))"

readonly me=capacity
# shellcheck source=scripts/processes.sh
source scripts/processes.sh

cleanup() {
  local status=$?
  trap - EXIT INT TERM
  if ((status != 0)); then tail -n 3 "$work"/*.log >&2 || true; fi
  stop "${pids[@]}" || true
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_role NAME PROGRAM ARGUMENT... calls start and stores the process id in role_pid[NAME].
start_role() {
  start "$@"
  role_pid[$1]="${pids[-1]}"
}

# remaining_seconds prints the seconds until run_limit.
remaining_seconds() { printf '%s' "$((run_limit - SECONDS))"; }

vm_ip() { printf '%s.%s' "$net" "$((10 + $1))"; }

# each_leaf FUNCTION calls FUNCTION SERVICE SHARD SERVICE-TIME IP for each leaf.
each_leaf() {
  local line name shards time _ s host=20
  for line in "${services[@]}"; do
    read -r name shards time _ <<<"$line"
    for ((s = 0; s < shards; s++)); do
      host=$((host + 1))
      "$1" "$name" "$s" "$time" "$net.$host"
    done
  done
}

leaf_settings() {
  printf '[[leaf]]\nid = "%s-%s"\nzone = "az-1"\nservice = "%s"\nlisten = "%s:%s"\ncontrol = "%s:%s"\nslots = 300\nconnections = 30\nshards = [%s]\ndocuments = 1000\nservice_time = "%s"\nsearch_log = -1\n' \
    "$1" "$2" "$1" "$4" "$leaf_port" "$4" "$control_port" "$2" "$3"
}

load_leaf() { printf '[[leaf]]\nid = "%s-%s"\ncontrol = "%s:%s"\n' "$1" "$2" "$4" "$control_port"; }

list_leaf() { printf '{"id":"%s-%s","zone":"az-1","address":"%s:%s","state":"live"},' "$1" "$2" "$4" "$leaf_port"; }

bundle_leaf() {
  if [[ "$1" != "$bundle_service" ]]; then return 0; fi
  printf '[[service.leaf]]\nid = "%s-%s"\nzone = "az-1"\naddress = "%s:%s"\nslots = 300\nconnections = 30\n' "$1" "$2" "$4" "$leaf_port"
}

write_list() {
  local i list=""
  for ((i = 1; i <= vms; i++)); do
    list+="{\"id\":\"vm-$i\",\"zone\":\"az-1\",\"address\":\"$(vm_ip "$i")\",\"entry_port\":7400,\"gather_port\":7401,\"sync_port\":7402,\"operator_port\":7412,\"state\":\"live\"},"
  done
  local leaves
  leaves="$(each_leaf list_leaf)"
  printf '{"vms":[%s],"leaves":[%s]}' "${list%,}" "${leaves%,}"
}

write_bundle() {
  local line name shards _ s bundle_service
  printf 'version = 1\n[[caller]]\nname = "bench"\ntoken_sha256 = "%s"\nrate = 100000.0\nburst = 100000\nservices = ["q10", "q30", "q100", "slow"]\n' \
    "$(printf %s "$token" | sha256sum | cut -d ' ' -f 1)"
  for line in "${services[@]}"; do
    read -r name shards _ <<<"$line"
    printf '[[service]]\nname = "%s"\n[[service.kind]]\nname = "look"\nmode = "search"\nweight = 10\ntimeout = "10s"\ntop_k = 10\npartial = "coverage"\n[[service.kind]]\nname = "book"\nmode = "order"\nweight = 10\ntimeout = "5s"\n' "$name"
    bundle_service="$name"
    each_leaf bundle_leaf
    printf '[[service.snapshot]]\nversion = 1\n'
    for ((s = 0; s < shards; s++)); do
      printf '[[service.snapshot.shard]]\nid = %s\ndocuments = 1000\nleaves = ["%s-%s"]\n' "$s" "$name" "$s"
    done
  done
}

write_vm() { # VM-NUMBER
  local role port=7410 ip
  ip="$(vm_ip "$1")"
  for role in entry gather sync; do
    printf '[vm]\nid = "vm-%s"\nzone = "az-1"\nbind = "%s"\n[operator]\nlisten = "%s:%s"\n' "$1" "$ip" "$ip" "$port" >"$work/$role-$1.toml"
    port=$((port + 1))
  done
  printf '[drain]\nbalancer_lag = "0s"\n[admission]\nmin_concurrency = 1000\nmax_concurrency = 1000\ninitial_concurrency = 1000\n' >>"$work/entry-$1.toml"
  printf '[balance]\npolicy = "baseline"\n[search]\nconcurrency = "unbounded"\n' >>"$work/gather-$1.toml"
  printf '[sync]\nfleet = "capacity"\n[platform]\naddress = "%s.1:8500"\n[trust]\nthreshold = 1\n%s\n' "$net" "$(cat "$work/reviewer.trust")" >>"$work/sync-$1.toml"
}

# each_process FUNCTION calls FUNCTION ROLE VM-NUMBER OPERATOR-IP:PORT.
each_process() {
  local i
  for ((i = 1; i <= vms; i++)); do
    "$1" entry "$i" "$(vm_ip "$i"):7410"
    "$1" gather "$i" "$(vm_ip "$i"):7411"
  done
}

load_process() { printf '[[process]]\nname = "%s-%s"\nrole = "%s"\noperator = "%s"\n' "$1" "$2" "$1" "$3"; }

# load FILE SERVICE KIND MODE RATE SECONDS MAX-REQUESTS
load() {
  local i entries=""
  for ((i = 1; i <= vms; i++)); do entries+="\"$(vm_ip "$i"):7400\","; done
  {
    printf '[load]\nentries = [%s]\nmax_requests = %s\n[[phase]]\nname = "run"\nrate = %s.0\nduration = "%ss"\n' "${entries%,}" "$7" "$5" "$6"
    printf '[[mix]]\nservice = "%s"\nkind = "%s"\nmode = "%s"\nweight = 1.0\ntoken = "%s"\ntimeout = "10s"\n' "$2" "$3" "$4" "$token"
    each_leaf load_leaf
    each_process load_process
  } >"$1.toml"
  timeout 30 "$work/bin/burdock-load" --settings "$1.toml" --out "$1.json" >"$1.out" || fail "burdock-load: $(cat "$1.out")"
}

# metric IP:PORT NAME prints a metric, summed over its labels, as an integer.
metric() { http GET "$1" /metrics | awk -v name="$2" '$1 == name || index($1, name "{") == 1 { sum += $2 } END { printf "%.0f", sum }'; }

# memory ROLE OPERATOR-PORT prints the live heap and the stacks in use of all processes of a role, in bytes.
# With GOGC=10 the heap target of the next collection is 1.1 times the live heap of the last one.
memory() {
  local i sum=0 target stack
  for ((i = 1; i <= vms; i++)); do
    target="$(metric "$(vm_ip "$i"):$2" go_memstats_next_gc_bytes)"
    stack="$(metric "$(vm_ip "$i"):$2" go_memstats_stack_inuse_bytes)"
    sum=$((sum + target * 10 / 11 + stack))
  done
  printf '%s' "$sum"
}

start_vms() {
  local i role
  for ((i = 1; i <= vms; i++)); do
    for role in gather entry; do start_role "$role-$i" "burdock-$role" --settings "$work/$role-$i.toml"; done
  done
  for ((i = 1; i <= vms; i++)); do wait_for "$(vm_ip "$i"):7410" /ready && wait_for "$(vm_ip "$i"):7411" /ready; done
}

stop_vms() {
  local i
  for ((i = 1; i <= vms; i++)); do stop "${role_pid[entry-$i]}" "${role_pid[gather-$i]}" || true; done
}

# cpu FILE ROLE prints the CPU seconds of a role in a result.
cpu() { tr -d ' \n' <"$1" | sed -n "s/.*\"role\":\"$2\",\"processes\":[0-9]*,\"seconds\":\([0-9.e+-]*\).*/\1/p"; }
# median FILE prints the median latency of the answers in ms; field FILE NAME prints the last number with the
# name.
median() { tr -d ' \n' <"$1" | sed -n 's/.*"answered":{"count":[0-9]*,"p50_ms":\([0-9.]*\).*/\1/p'; }
field() { tr -d ' \n' <"$1" | sed -n "s/.*\"$2\":\([0-9.e+-]*\).*/\1/p"; }

query_processor() {
  local line name shards rate role _ warm
  for line in "${services[@]:0:3}"; do
    read -r name shards _ rate <<<"$line"
    load "$work/warm" "$name" look search "$rate" 2 100000
  done
  load "$work/idle" q10 look search 1 6 100000
  printf 'searches of\trole\tCPU us/search\tleaf calls/search\tp50 ms\n'
  for line in "${services[@]:0:3}"; do
    read -r name shards _ rate <<<"$line"
    load "$work/$name" "$name" look search "$rate" 6 100000
    for role in entry gather; do
      awk -v n="$name" -v r="$role" -v c="$(cpu "$work/$name.json" "$role")" -v s="$(field "$work/$name.json" sends)" \
        -v l="$(field "$work/$name.json" searches)" -v e="$(field "$work/$name.json" elapsed_s)" -v p="$(median "$work/$name.json")" \
        -v ic="$(cpu "$work/idle.json" "$role")" -v ie="$(field "$work/idle.json" elapsed_s)" \
        'BEGIN { printf "%s\t%s\t%.0f\t%.1f\t%s\n", n, r, (c - ic * e / ie) * 1e6 / s, l / s, p }' | tee -a "$work/points"
    done
  done
  for role in entry gather; do
    awk -v r="$role" -F '\t' '$2 == r { n++; x += $4; y += $3; xx += $4 * $4; xy += $4 * $3 }
      END { b = (n * xy - x * y) / (n * xx - x * x); printf "fit of %s: %.0f us a search + %.1f us a leaf call\n", r, (y - b * x) / n, b }' "$work/points"
  done
}

# connections prints the number of open connections of all leaves.
connections() {
  local sum=0 host
  for ((host = 21; host < 21 + 170; host++)); do
    sum=$((sum + $(http GET "$net.$host:$control_port" /log | tr -d ' \n' | sed -n 's/.*"connections_now":\([0-9]*\).*/\1/p')))
  done
  printf '%s' "$sum"
}

# query_memory measures the memory of connections, tickets and searches in flight, each as the difference
# from the memory before. It starts the gathers before the leaves, so that connections are measured too.
query_memory() {
  local before_entry before_gather open job
  stop "${role_pid[leaves]}" || true
  start_vms
  sleep 6
  before_gather="$(memory gather 7411)"
  start_role leaves burdock-standin leaves --settings "$work/leaves.toml"
  wait_for "$net.21:$control_port" /live
  sleep 8
  open="$(connections)"
  printf 'memory of a connection to a leaf (%s of them): gather %d bytes\n' "$open" "$((($(memory gather 7411) - before_gather) / open))"
  load "$work/warm2" q10 look search 200 3 100000
  before_entry="$(memory entry 7410)" before_gather="$(memory gather 7411)"
  load "$work/held" slow look search 200 5 "$in_flight" &
  job=$!
  sleep 4
  printf 'memory of a search in flight of 30 leaf calls (%s of them): entry %d bytes, gather %d bytes\n' "$in_flight" \
    "$((($(memory entry 7410) - before_entry) / in_flight))" "$((($(memory gather 7411) - before_gather) / in_flight))"
  wait "$job"
  load "$work/warm4" q10 look search 200 3 100000
  before_gather="$(memory gather 7411)"
  load "$work/orders" q10 book order 800 "$((orders / 800 + 1))" "$orders"
  load "$work/warm3" q10 look search 200 3 100000
  printf 'memory of a ticket, record at the gather and its copy at the witness (%s of them): gather %d bytes\n' "$orders" \
    "$((($(memory gather 7411) - before_gather) / orders))"
  grep -h 'book' "$work/orders.out" | head -n 2
}

query_part() {
  local i
  start_role platform burdock-standin platform --listen "$net.1:8500" --control "$net.1:8501"
  wait_for "$net.1:8501" /live
  "$work/bin/burdockctl" bundle keygen --out "$work/reviewer.key" >"$work/reviewer.trust"
  each_leaf leaf_settings >"$work/leaves.toml"
  write_list >"$work/list.json"
  write_bundle >"$work/bundle.toml"
  "$work/bin/burdockctl" bundle sign --text "$work/bundle.toml" --key "$work/reviewer.key" --out "$work/bundle" >/dev/null
  "$work/bin/burdock-standin" publish --control "$net.1:8501" --list "$work/list.json" --dir "$work/bundle" >/dev/null
  for ((i = 1; i <= vms; i++)); do
    write_vm "$i"
    start_role "sync-$i" burdock-sync --settings "$work/sync-$i.toml"
  done
  start_role leaves burdock-standin leaves --settings "$work/leaves.toml"
  wait_for "$net.21:$control_port" /live
  start_vms
  query_processor
  stop_vms
  export GOGC=10
  query_memory
  unset GOGC
}

# sync_size VMS runs burdock-capacity with one size in the background, with its output in a file. It sets
# size_pid to the process id.
sync_size() {
  "$work/bin/burdock-capacity" --vms "$1" --net "$((61 + RANDOM % 60))" --phase "$phase" --limit "$(remaining_seconds)s" >"$work/sync-$1.out" 2>&1 &
  size_pid="$!"
  pids+=("$size_pid")
}

# sync_part runs the sizes up to 32 VMs concurrently and each larger size alone.
sync_part() {
  local size small=() size_pid shown=""
  for size in "${sizes[@]}"; do
    if ((size <= 32)); then sync_size "$size" && small+=("$size_pid"); fi
  done
  for size_pid in "${small[@]}"; do wait "$size_pid" || true; done
  for size in "${sizes[@]}"; do
    if ((size > 32)); then
      if (($(remaining_seconds) < 30)); then
        printf '%s VMs: not run, less than 30 s remaining\n' "$size"
        continue
      fi
      sync_size "$size"
      wait "$size_pid" || true
    fi
    if [[ -z "$shown" ]]; then cat "$work/sync-$size.out"; else tail -n +2 "$work/sync-$size.out"; fi
    shown=yes
  done
}

mkdir -p "$work/bin"
go build -o "$work/bin/" ./cmd/burdock-entry ./cmd/burdock-gather ./cmd/burdock-sync ./cmd/burdockctl ./cmd/burdock-standin ./cmd/burdock-load ./cmd/burdock-capacity
printf 'measured %s on %s CPUs, load average %s\n' "$(date -u +%F)" "$(nproc)" "$(cut -d ' ' -f 1 /proc/loadavg)"
SECONDS=0
case "$parts" in *query*) query_part ;; esac
case "$parts" in *sync*) sync_part ;; esac
