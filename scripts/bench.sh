#!/usr/bin/env bash
# Measures the decisions in virtual time and then real processes on loopback, and
# prints one figure a line: name value unit. It needs the programs in bin/ (make
# build) and the ports from FUCHSIASHED_BENCH_PORT (25100) to 49 above.
#
#   scripts/bench.sh [--json FILE] [--only REGEXP | --processes]
#
# With --only, only the experiments in virtual time whose names match run; with
# --processes, only those with real processes.
set -eu
cd "$(dirname "$0")/.."

readonly base=${FUCHSIASHED_BENCH_PORT:-25100}
readonly bin=$PWD/bin
readonly key=bench-key
json=
only=
processes=
while [ $# -gt 0 ]; do
  case $1 in
    --json) json=$2; shift 2 ;;
    --only) only=$2; shift 2 ;;
    --processes) only='^None$' processes=1; shift ;;
    *) echo "argument $1 is unknown; use --json FILE, --only REGEXP or --processes" >&2; exit 2 ;;
  esac
done

folder=$(mktemp -d "${TMPDIR:-/tmp}/fuchsiashed-bench.XXXXXX")
declare -A pids=()

address() { echo "127.0.0.1:$((base + $1))"; }

# finish stops every process that was started, by its id.
finish() {
  local code=$?
  trap - EXIT
  if [ "$code" -ne 0 ]; then tail -n 5 "$folder"/*.log >&2 || true; fi
  stop_all
  rm -rf "$folder"
  exit "$code"
}
trap finish EXIT

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  { wait; } 2>/dev/null || true
  pids=()
}

# start NAME PROGRAM starts a process with the settings NAME.ini of the folder.
start() {
  "$bin/$2" --settings "$folder/$1.ini" >>"$folder/$1.log" 2>&1 &
  pids[$1]=$!
}

# measure ARGUMENTS... runs the bench program and keeps its figures.
measure() {
  "$bin/fuchsiashed-bench" ${kept:+--add "$kept"} --json "$folder/figures.json" "$@"
  kept=$folder/figures.json
}
kept=

# print NAME VALUE UNIT prints a figure that the script measured itself.
print() {
  measure --only '^None$' --figure "$1=$2 $3"
}

until_true() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >"$folder/last" 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "timeout waiting for $what; last output:" >&2
      cat "$folder/last" >&2
      return 1
    fi
    sleep 0.05
  done
}

host_section() {
  printf '[Host]\nHost = %s\nDataCentre = %s\nAdmin = %s\n' "$1" "$2" "$3"
}

control_section() {
  printf '[Control]\nReplicas = %s, %s, %s\n' "$(address 1)" "$(address 3)" "$(address 5)"
}

# write_control N SYNC
write_control() {
  {
    host_section "control-$1" "dc-$1" "$(address $(($1 * 2)))"
    printf '[Control]\nListen = %s\nDataFolder = %s\nBootstrap = true\nSync = %s\n' \
      "$(address $(($1 * 2 - 1)))" "$folder/data-$2-$1" "$2"
    printf '[Replicas]\nMembers = control-1@%s, control-2@%s, control-3@%s\n' "$(address 1)" "$(address 3)" "$(address 5)"
  } >"$folder/control-$1.ini"
}

write_dispatcher() {
  {
    host_section "dispatcher-$1" "dc-$1" "$(address $((10 + $1 * 2)))"
    printf '[Dispatcher]\nListen = %s\n' "$(address $((9 + $1 * 2)))"
    control_section
  } >"$folder/dispatcher-$1.ini"
}

write_router() {
  local first=$((17 + $1 * 4))
  {
    host_section "router-$1" "dc-$1" "$(address $((first + 2)))"
    printf '[Router]\nCallers = %s\nTargets = %s\n' "$(address "$first")" "$(address $((first + 1)))"
    control_section
    printf '[Dispatchers]\nAddresses = %s, %s\n' "$(address 11)" "$(address 13)"
  } >"$folder/router-$1.ini"
}

# write_target NAME PROTOCOL PORT
write_target() {
  {
    printf '[Target]\nTarget = %s-1\nService = %s\nDataCentre = dc-1\nListen = %s\nSlots = 512\nProtocol = %s\n' \
      "$1" "$1" "$(address "$3")" "$2"
    printf 'FirstToken = 50ms\nTokenInterval = 20ms\nServiceTime = 1ms\n'
    printf '[Routers]\nAnnounce = %s, %s\n' "$(address 22)" "$(address 26)"
  } >"$folder/$1.ini"
}

write_text() {
  cat >"$folder/fleet.ini" <<TEXT
[Fleet]
Region = bench
[DataCentre dc-1]
[DataCentre dc-2]
[DataCentre dc-3]
[Service plain]
Protocol = Plain
Idempotent = GET /status/*
MaxCost = 5000
[Service model]
Protocol = Model
Idempotent = POST /v1/chat/completions
MaxCost = 10000
[Policy]
QueuePerCustomer = 2048
HostsValidity = 1s
[Customer customer-1]
KeyHash = $(printf %s "$key" | sha256sum | cut -d' ' -f1)
TEXT
}

cli() { "$bin/fuchsiashed" "$@"; }
serving() { [ "$(cli target list | grep -c Serving)" -eq "$1" ]; }
leader() { cli control status | awk -F'\t' '$3 == "Leader" {print $2; exit}'; }
has_leader() { [ -n "$(leader)" ]; }

# start_control SYNC starts three replicas with empty disks and applies the fleet text.
start_control() {
  local n
  for n in 1 2 3; do write_control "$n" "$1"; start "control-$n" fuchsiashed-control; done
  until_true 15 "a control leader" has_leader
  until_true 10 "the fleet text" cli fleet apply "$folder/fleet.ini"
}

# restart_milliseconds NAME kills a replica and sets restarted to the milliseconds until
# it has started again.
restart_milliseconds() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  : >"$folder/$1.log"
  local began
  began=$(date +%s%N)
  start "$1" fuchsiashed-control
  until grep -q 'msg=Started' "$folder/$1.log"; do sleep 0.005; done
  restarted=$((($(date +%s%N) - began) / 1000000))
}

control_figures() {
  local victim replicas=(--control "$(address 1)" --control "$(address 3)" --control "$(address 5)")
  start_control Each
  measure --only '^Changes$' --label SyncEach "${replicas[@]}"
  stop_all
  start_control Group
  measure --only '^Changes$' --label SyncGroup "${replicas[@]}"
  measure --only '^Fill$' "${replicas[@]}"
  restart_milliseconds control-1
  print Control.RestartAfter1000Changes "$restarted" ms
  until_true 15 "a control leader" has_leader
  victim=$(leader)
  (sleep 3; kill -KILL "${pids[$victim]}") &
  measure --only '^Election$' --label LeaderKilled "${replicas[@]}"
  start "$victim" fuchsiashed-control
  sleep 2
  until_true 15 "a control leader" has_leader
  victim=$(leader)
  (sleep 3; kill -STOP "${pids[$victim]}"; sleep 5; kill -CONT "${pids[$victim]}") &
  measure --only '^Election$' --label LeaderFrozen "${replicas[@]}"
  stop_all
}

router_figures() {
  local n
  rm -rf "$folder"/data-*
  start_control Group
  for n in 1 2; do
    write_dispatcher "$n"; start "dispatcher-$n" fuchsiashed-dispatcher
    write_router "$n"; start "router-$n" fuchsiashed-router
  done
  write_target plain Plain 41
  write_target model Model 42
  start plain fuchsiashed-standin
  start model fuchsiashed-standin
  until_true 15 "2 serving targets" serving 2
  measure --only '^InForce$' --control "$(address 1)" --control "$(address 3)" --control "$(address 5)" \
    --admin "$(address 12)" --admin "$(address 14)" --admin "$(address 23)" --admin "$(address 27)"
  measure --only '^Router$' --router "$(address 21)" --plain "$(address 41)" --model "$(address 42)" --key "$key" \
    --admin "$(address 12)" --admin "$(address 14)" \
    --pid "Router:${pids[router-1]}" --pid "Dispatcher:${pids[dispatcher-1]}" --pid "Control:${pids[control-1]}"
  rolling_restart
  stop_all
}

# rolling_restart stops and starts both routers in turn under load and prints the figures
# of the load generator.
rolling_restart() {
  local n load name value unit
  "$bin/fuchsiashed-standin" load --host "$(address 21)" --host "$(address 25)" --customer "customer-1=$key:8" \
    --model model --plain plain --duration 20s --target "$(address 41)" --target "$(address 42)" \
    >"$folder/load.out" 2>"$folder/load.log" &
  load=$!
  pids[load]=$load
  sleep 2
  for n in 1 2; do
    kill -TERM "${pids[router-$n]}"
    wait "${pids[router-$n]}" || echo "router-$n ended with code $?" >&2
    start "router-$n" fuchsiashed-router
    sleep 2
  done
  wait "$load" || echo "the load ended with code $?" >&2
  unset 'pids[load]'
  while read -r name value unit; do
    print "RollingRestart.$name" "$value" "$unit"
  done <"$folder/load.out"
}

export FUCHSIASHED_CONTROL FUCHSIASHED_ADMIN
FUCHSIASHED_CONTROL=$(address 1),$(address 3),$(address 5)
FUCHSIASHED_ADMIN=$(address 12),$(address 14),$(address 23),$(address 27)
write_text
measure ${only:+--only "$only"}
if [ -z "$only" ] || [ -n "$processes" ]; then
  control_figures
  router_figures
fi
[ -z "$json" ] || cp "$folder/figures.json" "$json"
