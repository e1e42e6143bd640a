#!/usr/bin/env bash
# Measures the decisions of the system under load on this machine, compared with a baseline policy. Two
# fleets of six VMs in three availability zones, one with the adaptive policy and one with the baseline,
# run the same cases one after the other, each against its own stand-in leaves. Writes
# bench/out/result.json and prints a table of ratios. Needs Go, a C compiler and make; see
# docs/design/decisions.md.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly all_cases=calm,peak,straggler,group,zone,replica,lostgroup,cold,drain,lying,overload1.5,overload3,overload10,resend,crash
readonly vms=6
readonly leaf_port=9001 control_port=9002
readonly ready_tries=900 end_tries=300 # 0.1 s apart
readonly service_ms=20                 # median service time of a leaf
readonly capacity=430                  # searches per second of the first service: 9 slots / (20 ms x e^(0.3^2/2))
readonly calm_rate=190 other_rate=50   # searches per second of the first service, of each other service
readonly token="token-of-the-bench"

cases=$all_cases
repeats=1
deployment=agency
policies=(adaptive baseline)
seconds=4 settle=5 after=3 # durations in seconds: the case, the recovery, the time after it
out=bench/out

usage() {
  printf 'usage: bench.sh [--cases A,B] [--repeats N] [--deployment agency|camera] [--policies A,B] [--seconds N] [--out DIR]\ncases: %s\n' "$all_cases"
  exit "$1"
}

while (($# > 0)); do
  case "$1" in
    --cases) cases="$2" && shift 2 ;;
    --repeats) repeats="$2" && shift 2 ;;
    --deployment) deployment="$2" && shift 2 ;;
    --policies) IFS=, read -ra policies <<<"$2" && shift 2 ;;
    --seconds) seconds="$2" && shift 2 ;;
    --out) out="$2" && shift 2 ;;
    --help) usage 0 ;;
    *) usage 2 >&2 ;;
  esac
done

# One line per service: name, groups, replicas per group, slots, connections, connect delay in ms, and its
# kinds as name:weight. The first service gets the faults and the overload.
case "$deployment" in
  agency)
    readonly partial=latency
    readonly services=("booking 10 3 3 30 6 dawn:10 roster:2" "payroll 15 3 3 30 6 sync:3" "portal 5 2 6 100 1 school:8" "vetting 1 5 6 100 1 entry:4")
    ;;
  camera)
    readonly partial=coverage
    readonly services=("clips 10 3 3 30 6 rescue:10 holder:2" "intake 15 3 3 30 6 upload:3" "restore 5 2 6 50 1 order:8" "quota 1 5 6 50 1 entry:4")
    ;;
  *) usage 2 >&2 ;;
esac
read -r target groups replicas _ <<<"${services[0]}"

work="$(mktemp -d)"
pids=()
declare -A net # the first three octets of the addresses, by policy
readonly me=bench
# shellcheck source=scripts/processes.sh
source scripts/processes.sh

# cleanup ends only the processes started here, by process id, with SIGKILL for those that do not exit.
cleanup() {
  local status=$?
  trap - EXIT INT TERM
  if ((status != 0)); then tail -n 2 "$work"/*.log >&2 || true; fi
  stop "${pids[@]}" || true
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# each_leaf POLICY FUNCTION calls FUNCTION POLICY SERVICE-LINE GROUP REPLICA IP for each leaf.
each_leaf() {
  local line s groups replicas rest g r host=40
  for line in "${services[@]}"; do
    read -r s groups replicas rest <<<"$line"
    for ((g = 0; g < groups; g++)); do
      for ((r = 0; r < replicas; r++)); do
        host=$((host + 1))
        "$2" "$1" "$line" "$g" "$r" "${net[$1]}.$host"
      done
    done
  done
}

letters=(a b c d e)

leaf_settings() { # arguments as passed by each_leaf
  local s groups replicas slots connections connect _
  read -r s groups replicas slots connections connect _ <<<"$2"
  cat <<TOML
[[leaf]]
id = "$s-$3-${letters[$4]}"
zone = "az-$(($4 % 3 + 1))"
service = "$s"
listen = "$5:$leaf_port"
control = "$5:$control_port"
slots = $slots
connections = $connections
shards = [$3]
documents = 1000
service_time = "${service_ms}ms"
service_sigma = 0.3
cold_start = "2s"
connect_delay = "${connect}ms"
search_log = -1
TOML
}

load_leaf() { # arguments as passed by each_leaf
  local s groups replicas slots connections _
  read -r s groups replicas slots connections _ <<<"$2"
  printf '[[leaf]]\nid = "%s-%s-%s"\ncontrol = "%s:%s"\nslots = %s\nconnections = %s\n' \
    "$s" "$3" "${letters[$4]}" "$5" "$control_port" "$slots" "$connections"
}

list_leaf() { # arguments as passed by each_leaf
  local s _
  read -r s _ <<<"$2"
  printf '{"id":"%s-%s-%s","zone":"az-%s","address":"%s:%s","state":"live"},' "$s" "$3" "${letters[$4]}" "$(($4 % 3 + 1))" "$5" "$leaf_port"
}

write_list() { # POLICY
  local i vm_list="" leaf_list
  for ((i = 1; i <= vms; i++)); do
    vm_list+="{\"id\":\"vm-$i\",\"zone\":\"az-$(((i - 1) % 3 + 1))\",\"address\":\"${net[$1]}.$((10 + i))\",\"entry_port\":7400,\"gather_port\":7401,\"sync_port\":7402,\"operator_port\":7412,\"state\":\"live\"},"
  done
  leaf_list="$(each_leaf "$1" list_leaf)"
  printf '{"vms":[%s],"leaves":[%s]}' "${vm_list%,}" "${leaf_list%,}"
}

write_bundle() { # POLICY
  local line s groups replicas slots connections connect kinds k host=40 g r ids
  printf 'version = 1\n[[caller]]\nname = "bench"\ntoken_sha256 = "%s"\nrate = 100000.0\nburst = 100000\nservices = [%s]\n' \
    "$(printf %s "$token" | sha256sum | cut -d ' ' -f 1)" "$(for line in "${services[@]}"; do printf '"%s",' "${line%% *}"; done | sed 's/,$//')"
  for line in "${services[@]}"; do
    read -r s groups replicas slots connections connect kinds <<<"$line"
    printf '[[service]]\nname = "%s"\n' "$s"
    for k in $kinds; do
      printf '[[service.kind]]\nname = "%s"\nmode = "search"\nweight = %s\ntimeout = "1s"\ntop_k = 10\npartial = "%s"\nearly_coverage = 0.9\nearly_after = 3.0\nhedge_budget = 0.05\nretry_budget = 0.10\n' \
        "${k%:*}" "${k##*:}" "$partial"
    done
    local shards=""
    for ((g = 0; g < groups; g++)); do
      ids=""
      for ((r = 0; r < replicas; r++)); do
        host=$((host + 1))
        printf '[[service.leaf]]\nid = "%s-%s-%s"\nzone = "az-%s"\naddress = "%s.%s:%s"\nslots = %s\nconnections = %s\n' \
          "$s" "$g" "${letters[$r]}" "$((r % 3 + 1))" "${net[$1]}" "$host" "$leaf_port" "$slots" "$connections"
        ids+="\"$s-$g-${letters[$r]}\","
      done
      shards+="[[service.snapshot.shard]]"$'\n'"id = $g"$'\n'"documents = 1000"$'\n'"leaves = [${ids%,}]"$'\n'
    done
    printf '[[service.snapshot]]\nversion = 1\n%s' "$shards"
  done
}

write_vm() { # POLICY VM-NUMBER
  local role port ip="${net[$1]}.$((10 + $2))" file
  port=7410
  for role in entry gather sync; do
    file="$work/$1-$role-$2.toml"
    printf '[vm]\nid = "vm-%s"\nzone = "az-%s"\nbind = "%s"\n[operator]\nlisten = "%s:%s"\n' "$2" "$((($2 - 1) % 3 + 1))" "$ip" "$ip" "$port" >"$file"
    port=$((port + 1))
  done
  printf '[drain]\nbalancer_lag = "0s"\n' >>"$work/$1-entry-$2.toml"
  printf '[balance]\npolicy = "%s"\n' "$1" >>"$work/$1-gather-$2.toml"
  if [[ "$1" == baseline ]]; then # the baseline does not limit concurrent searches either
    printf '[search]\nconcurrency = "unbounded"\n' >>"$work/$1-gather-$2.toml"
    printf '[admission]\nmin_concurrency = 100000\nmax_concurrency = 100000\ninitial_concurrency = 100000\n' >>"$work/$1-entry-$2.toml"
  fi
  printf '[sync]\nfleet = "bench-%s"\n[platform]\naddress = "%s.1:8500"\n[trust]\nthreshold = 1\n%s\n' "$1" "${net[$1]}" "$(cat "$work/reviewer.trust")" >>"$work/$1-sync-$2.toml"
}

# start_fleet POLICY starts the stand-ins and the system with one policy on a random block of addresses.
start_fleet() {
  local i role tries port platform
  for ((tries = 0; tries < 20; tries++)); do
    net[$1]="127.$((RANDOM % 180 + 40)).$((RANDOM % 250 + 1))"
    platform="${net[$1]}.1"
    start "$1-platform" burdock-standin platform --listen "$platform:8500" --control "$platform:8501"
    for ((i = 0; i < 100; i++)); do
      if [[ "$(http GET "$platform:8501" /live 2>/dev/null | head -n 1)" == *" 200 "* ]]; then break; fi
      sleep 0.05
    done
    if kill -0 "${pids[-1]}" 2>/dev/null; then break; fi
    unset 'pids[-1]'
  done
  each_leaf "$1" leaf_settings >"$work/$1-leaves.toml"
  each_leaf "$1" load_leaf >"$work/$1-load-leaves.toml"
  start "$1-leaves" burdock-standin leaves --settings "$work/$1-leaves.toml"
  wait_for "${net[$1]}.41:$control_port" /live
  write_list "$1" >"$work/$1-list.json"
  write_bundle "$1" >"$work/$1-bundle.toml"
  "$work/bin/burdockctl" bundle sign --text "$work/$1-bundle.toml" --key "$work/reviewer.key" --out "$work/$1-bundle" >/dev/null
  "$work/bin/burdock-standin" publish --control "$platform:8501" --list "$work/$1-list.json" --dir "$work/$1-bundle" >/dev/null
  for ((i = 1; i <= vms; i++)); do
    write_vm "$1" "$i"
    for role in sync gather entry; do start "$1-$role-$i" "burdock-$role" --settings "$work/$1-$role-$i.toml"; done
  done
  for ((i = 1; i <= vms; i++)); do
    for port in 7410 7411 7412; do wait_for "${net[$1]}.$((10 + i)):$port" /ready; done
  done
}

# faults POLICY GROUPS REPLICAS JSON sets the faults of leaves of the first service. GROUPS and REPLICAS
# are lists of numbers, or - for all.
faults() {
  local g r all_groups all_replicas
  all_groups="$(seq 0 $((groups - 1)))"
  all_replicas="$(seq 0 $((replicas - 1)))"
  for g in $([[ "$2" == - ]] && printf '%s' "$all_groups" || printf '%s' "$2"); do
    for r in $([[ "$3" == - ]] && printf '%s' "$all_replicas" || printf '%s' "$3"); do
      http PUT "${net[$1]}.$((41 + g * replicas + r)):$control_port" /faults "$4" >/dev/null
    done
  done
}

clear_log() { http DELETE "$5:$control_port" /log >/dev/null; }

# load POLICY FILE RESEND MIX-EXTRA PHASE... runs burdock-load. A phase is NAME:RATE:SECONDS with the rate
# of the first service.
load() {
  local policy="$1" file="$2" resend="$3" extra="$4" i line s kinds k p name rate time weight heavy=3 entries=""
  shift 4
  each_leaf "$policy" clear_log
  for ((i = 1; i <= vms; i++)); do entries+="\"${net[$policy]}.$((10 + i)):7400\","; done
  IFS=: read -r name rate time <<<"$1"
  {
    printf '[load]\nentries = [%s]\nseed = %s\nresend = "%s"\n' "${entries%,}" "$seed" "$resend"
    for p in "$@"; do
      IFS=: read -r name rate time <<<"$p"
      printf '[[phase]]\nname = "%s"\nrate = %s.0\nduration = "%ss"\n' "$name" "$((rate + other_rate * (${#services[@]} - 1)))" "$time"
    done
    IFS=: read -r name rate time <<<"$1"
    for line in "${services[@]}"; do
      read -r s _ _ _ _ _ kinds <<<"$line"
      for k in $kinds; do
        weight=$((other_rate * 10))
        if [[ "$s" == "$target" ]]; then # 3 in 10 are of the heavy kind, which is the first
          weight=$((rate * heavy))
          heavy=7
        fi
        printf '[[mix]]\nservice = "%s"\nkind = "%s"\nmode = "search"\nweight = %s.0\ntoken = "%s"\ntimeout = "1s"\n' "$s" "${k%:*}" "$weight" "$token"
      done
    done
    printf '%s\n' "$extra"
    cat "$work/$policy-load-leaves.toml"
    for ((i = 1; i <= vms; i++)); do
      printf '[[process]]\nname = "entry-%s"\nrole = "entry"\noperator = "%s.%s:7410"\n' "$i" "${net[$policy]}" "$((10 + i))"
      printf '[[process]]\nname = "gather-%s"\nrole = "gather"\noperator = "%s.%s:7411"\n' "$i" "${net[$policy]}" "$((10 + i))"
      printf '[[process]]\nname = "sync-%s"\nrole = "sync"\noperator = "%s.%s:7412"\n' "$i" "${net[$policy]}" "$((10 + i))"
    done
  } >"$work/load.toml"
  "$work/bin/burdock-load" --settings "$work/load.toml" --out "$file" >"$work/load.out" || fail "burdock-load failed: $(cat "$work/load.out")"
}

# rolling POLICY FIELD sets a fault at each replica in turn, in all groups at the same time. With three
# replicas each fault lasts a third of the case.
rolling() {
  local r pause
  pause="$(printf '%d.%03d' $((seconds / replicas)) $((seconds % replicas * 1000 / replicas)))"
  for ((r = 0; r < replicas; r++)); do
    faults "$1" - "$r" "{\"$2\":true}"
    sleep "$pause"
    faults "$1" - "$r" '{}'
  done
}

# run_case CASE POLICY FILE sets the faults of the case, loads the fleet, clears the faults, and loads it
# again to measure the recovery and the time after it.
run_case() {
  local p="$2" rate="$calm_rate" resend=none extra="" first=0 roll=""
  case "$1" in
    calm | peak) ;;
    straggler) faults "$p" "0 3 6" 0 '{"slow_factor":20}' ;;
    group) faults "$p" 0 - '{"slow_factor":20}' ;;
    zone) faults "$p" - 0 '{"slow_factor":10}' ;;
    replica) faults "$p" - 0 '{"down":true}' ;;
    lostgroup) faults "$p" 0 - '{"down":true}' ;;
    cold) faults "$p" - 0 '{"down":true}' && faults "$p" - 0 '{}' ;;
    drain) rolling "$p" drain & roll=$! ;;
    lying)
      faults "$p" - 0 '{"slow_factor":3,"report":{"utilisation":0,"in_flight":0}}'
      faults "$p" - "1 2" '{"report":{"utilisation":1,"in_flight":50}}'
      ;;
    overload1.5) rate=$((capacity * 3 / 2)) ;;
    overload3) rate=$((capacity * 3)) ;;
    overload10) rate=$((capacity * 10)) ;;
    resend) rate=$((capacity * 3)) resend=at_once ;;
    crash)
      faults "$p" - - '{"crash_mark":"boom"}'
      extra="$(printf '[[mix]]\nservice = "%s"\nkind = "%s"\nmode = "search"\nweight = %s.0\ntoken = "%s"\ntimeout = "1s"\ntext = "boom"' \
        "$target" "$(read -r _ _ _ _ _ _ k _ <<<"${services[0]}" && printf '%s' "${k%:*}")" "$((rate / 4))" "$token")"
      ;;
    *) fail "unknown case: $1" ;;
  esac
  if [[ "$1" == peak ]]; then
    load "$p" "$3.case.json" none "" "p80:$((capacity * 80 / 100)):$seconds" "p90:$((capacity * 90 / 100)):$seconds" "p100:$capacity:$seconds"
  else
    load "$p" "$3.case.json" "$resend" "$extra" "case:$rate:$seconds"
  fi
  if [[ -n "$roll" ]]; then wait "$roll"; fi
  if [[ "$1" == calm ]]; then return 0; fi
  case "$1" in peak | overload* | resend | drain | cold) ;; *) faults "$p" - - '{}' ;; esac
  load "$p" "$3.back.json" none "" "settle:$calm_rate:$settle" "after:$calm_rate:$after"
}

mkdir -p "$work/bin" "$work/results" "$out"
go build -o "$work/bin/" ./cmd/burdock-entry ./cmd/burdock-gather ./cmd/burdock-sync ./cmd/burdockctl ./cmd/burdock-standin ./cmd/burdock-load
"$work/bin/burdockctl" bundle keygen --out "$work/reviewer.key" >"$work/reviewer.trust"
for policy in "${policies[@]}"; do start_fleet "$policy"; done
seed=1
for policy in "${policies[@]}"; do load "$policy" "$work/warm.json" none "" "warm:$calm_rate:4"; done
IFS=, read -ra wanted <<<"$cases"
for ((seed = 1; seed <= repeats; seed++)); do
  for name in "${wanted[@]}"; do
    for policy in "${policies[@]}"; do
      run_case "$name" "$policy" "$work/results/$seed,$name,$policy"
    done
  done
done
if [[ -n "${BENCH_KEEP:-}" ]]; then cp "$work"/results/*.json "$out/"; fi
"$work/bin/burdock-load" compare --target "$target" --out "$out/result.json" "$work/results"
