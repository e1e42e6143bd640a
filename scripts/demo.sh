#!/usr/bin/env bash
# Demonstrates the whole request path on this machine. Runs the stand-ins and the system as separate
# processes on loopback addresses in three availability zones, publishes a signed bundle, sends one search,
# and sends one order through three entries, which must appear exactly once in the leaves' logs. Needs Go,
# a C compiler and make.
set -euo pipefail

cd "$(dirname "$0")/.."

readonly zones=(az-1 az-2 az-3)
readonly shards=(0 1 2)
readonly replicas=(a b c)
readonly token="demo-token-of-the-booking-desk"
readonly blocks=20 # address blocks from 127.4.1.x on; the demo takes the first that no other demo uses
readonly leaf_port=9001
readonly leaf_control_port=9002
readonly entry_port=7400
readonly ready_tries=600 # 0.1 s apart
readonly end_tries=300   # 0.1 s apart

work="$(mktemp -d)"
pids=()
net="" # the first three octets of the addresses
readonly me=demo
# shellcheck source=scripts/processes.sh
source scripts/processes.sh

say() { printf '\n== %s\n' "$*"; }

# cleanup ends only the processes started here, by process id, with SIGKILL for those that do not exit.
cleanup() {
  local status=$?
  trap - EXIT INT TERM
  if ((status != 0)); then
    printf '\ndemo: failed; last lines of the logs of the system:\n' >&2
    tail -n 2 "$work"/{entry,gather,sync}-*.log >&2 || true
  fi
  stop "${pids[@]}" || status=1
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_platform starts the platform's stand-in in the first free block of addresses. A block is free if
# the stand-in can listen there; a demo that runs at the same time uses another block.
start_platform() {
  local block log
  for ((block = 1; block <= blocks; block++)); do
    net="127.4.$block"
    platform="$net.1:8500"
    platform_control="$net.1:8501"
    log="$work/platform.log"
    start platform burdock-standin platform --listen "$platform" --control "$platform_control"
    while kill -0 "${pids[-1]}" 2>/dev/null; do
      if grep -q '"started"' "$log"; then return 0; fi
      sleep 0.05
    done
    unset 'pids[-1]'
  done
  fail "no free block of loopback addresses"
}

leaf_ip() { printf '%s.%d' "$net" "$((61 + $1 * 3 + $2))"; } # SHARD REPLICA-NUMBER
vm_ip() { printf '%s.%d' "$net" "$((10 + $1))"; }           # VM-NUMBER from 1

write_leaf() { # SHARD REPLICA-NUMBER
  local id="teachers-$1-${replicas[$2]}" ip
  ip="$(leaf_ip "$1" "$2")"
  cat >"$work/leaf-$id.toml" <<TOML
id = "$id"
zone = "${zones[$2]}"
service = "teachers"
listen = "$ip:$leaf_port"
control = "$ip:$leaf_control_port"
slots = 3
connections = 30
snapshots = [1]
shards = [$1]
documents = 1000
service_time = "3ms"
connect_delay = "6ms"
TOML
}

write_common() { # VM-NUMBER OPERATOR-PORT
  local ip
  ip="$(vm_ip "$1")"
  cat <<TOML
[vm]
id = "vm-$1"
zone = "${zones[$1 - 1]}"
bind = "$ip"
[operator]
listen = "$ip:$2"
TOML
}

write_vm() { # VM-NUMBER
  { write_common "$1" 7410; printf '[drain]\nbalancer_lag = "0s"\n'; } >"$work/entry-vm-$1.toml"
  write_common "$1" 7411 >"$work/gather-vm-$1.toml"
  {
    write_common "$1" 7412
    printf '[sync]\nfleet = "demo"\n[platform]\naddress = "%s"\n[trust]\nthreshold = 2\n' "$platform"
    cat "$work"/reviewer-*.trust
  } >"$work/sync-vm-$1.toml"
}

write_bundle() {
  local s r id ids hash
  hash="$(printf %s "$token" | sha256sum | cut -d ' ' -f 1)"
  cat <<TOML
version = 1
[[caller]]
name = "booking-desk"
token_sha256 = "$hash"
services = ["teachers"]
[[service]]
name = "teachers"
[[service.kind]]
name = "dawn"
mode = "search"
weight = 10
timeout = "1s"
top_k = 5
partial = "latency"
[[service.kind]]
name = "booking"
mode = "order"
weight = 10
timeout = "2s"
TOML
  for s in "${shards[@]}"; do
    for r in 0 1 2; do
      printf '[[service.leaf]]\nid = "teachers-%s-%s"\nzone = "%s"\naddress = "%s:%s"\nslots = 3\nconnections = 30\n' \
        "$s" "${replicas[$r]}" "${zones[$r]}" "$(leaf_ip "$s" "$r")" "$leaf_port"
    done
  done
  printf '[[service.snapshot]]\nversion = 1\n'
  for s in "${shards[@]}"; do
    ids=""
    for r in "${replicas[@]}"; do
      id="teachers-$s-$r"
      ids+="${ids:+, }\"$id\""
    done
    printf '[[service.snapshot.shard]]\nid = %s\ndocuments = 1000\nleaves = [%s]\n' "$s" "$ids"
  done
}

write_list() {
  local i s r comma=""
  printf '{"vms":['
  for i in 1 2 3; do
    printf '%s{"id":"vm-%s","zone":"%s","address":"%s","entry_port":7400,"gather_port":7401,"sync_port":7402,"operator_port":7412,"state":"live"}' \
      "$comma" "$i" "${zones[$i - 1]}" "$(vm_ip "$i")"
    comma=","
  done
  printf '],"leaves":['
  comma=""
  for s in "${shards[@]}"; do
    for r in 0 1 2; do
      printf '%s{"id":"teachers-%s-%s","zone":"%s","address":"%s:%s","state":"live"}' \
        "$comma" "$s" "${replicas[$r]}" "${zones[$r]}" "$(leaf_ip "$s" "$r")" "$leaf_port"
      comma=","
    done
  done
  printf ']}'
}

# executions PAYLOAD prints the number of executions with the payload in the logs of all leaves.
executions() {
  local s r count=0
  for s in "${shards[@]}"; do
    for r in 0 1 2; do
      count=$((count + $(http GET "$(leaf_ip "$s" "$r"):$leaf_control_port" /log | grep -o "\"payload\": *\"$1\"" | wc -l)))
    done
  done
  printf '%d' "$count"
}

ctl() { "$work/bin/burdockctl" "$@"; }

say "building"
mkdir -p "$work/bin"
go build -o "$work/bin/" ./cmd/burdock-entry ./cmd/burdock-gather ./cmd/burdock-sync ./cmd/burdockctl ./cmd/burdock-standin

say "the platform's stand-in"
start_platform

say "reviewers' keys, a bundle, and two signatures"
for reviewer in one two; do
  ctl bundle keygen --out "$work/reviewer-$reviewer.key" >"$work/reviewer-$reviewer.trust"
done
write_bundle >"$work/bundle.toml"
ctl bundle check "$work/bundle.toml"
ctl bundle sign --text "$work/bundle.toml" --key "$work/reviewer-one.key" --key "$work/reviewer-two.key" --out "$work/bundle"

say "stand-ins: ${#shards[@]} groups of ${#replicas[@]} leaves in ${#zones[@]} availability zones"
for s in "${shards[@]}"; do
  for r in 0 1 2; do
    write_leaf "$s" "$r"
    start "leaf-$s-$r" burdock-standin leaf --settings "$work/leaf-teachers-$s-${replicas[$r]}.toml"
  done
done
wait_for "$platform_control" /live
for s in "${shards[@]}"; do
  for r in 0 1 2; do wait_for "$(leaf_ip "$s" "$r"):$leaf_control_port" /live; done
done
write_list >"$work/list.json"
"$work/bin/burdock-standin" publish --control "$platform_control" --list "$work/list.json" --dir "$work/bundle"

say "the system: sync, gather and entry on each of three VMs"
operators=()
for vm in 1 2 3; do
  write_vm "$vm"
  for role in sync gather entry; do
    start "$role-vm-$vm" "burdock-$role" --settings "$work/$role-vm-$vm.toml"
  done
done
for vm in 1 2 3; do
  for port in 7410 7411 7412; do
    wait_for "$(vm_ip "$vm"):$port" /ready
    operators+=(--operator "$(vm_ip "$vm"):$port")
  done
done
ctl fleet "${operators[@]}"

printf '%s' "$token" >"$work/token"
caller=(--token-file "$work/token" --service teachers)

say "a search through the entry of vm-1"
ctl search --entry "$(vm_ip 1):$entry_port" "${caller[@]}" --kind dawn --query "music teacher, Breidholt"

say "an order: a ticket, then the same order through three entries"
ticket="$(ctl order ticket --entry "$(vm_ip 1):$entry_port" "${caller[@]}" --kind booking | awk '$1 == "ticket" { print $2 }')"
payload="booking-of-the-demo"
for vm in 1 2 3; do
  printf -- '-- through the entry of vm-%s\n' "$vm"
  ctl order send --entry "$(vm_ip "$vm"):$entry_port" "${caller[@]}" --kind booking \
    --ticket "$ticket" --key school-12 --payload "$payload"
done

say "the leaves' execution logs"
count="$(executions "$payload")"
printf 'the order was executed %s time(s) after 3 sends\n' "$count"
[[ "$count" == 1 ]] || fail "the order must be executed exactly once"

say "stopping all processes"
stop "${pids[@]}" || fail "a process did not exit by itself"
pids=()
printf 'all processes have exited\n'
