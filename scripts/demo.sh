#!/usr/bin/env bash
# Starts a small fleet on loopback, sends it requests, takes a data centre out and
# back, and stops everything. The last line is "demo ok". It needs the programs in
# bin/ (make build) and the ports from FUCHSIASHED_DEMO_PORT (7100) to 99 above. The
# fleet stays up for FUCHSIASHED_DEMO_HOLD seconds (0) before it is stopped.
set -eu
cd "$(dirname "$0")/.."

readonly base=${FUCHSIASHED_DEMO_PORT:-7100}
readonly bin=$PWD/bin
readonly text=examples/lv-riga.ini
readonly customer=cafe-majori
folder=$(mktemp -d "${TMPDIR:-/tmp}/fuchsiashed-demo.XXXXXX")
names=()
pids=()

address() { echo "127.0.0.1:$((base + $1))"; }
say() { echo "demo: $*"; }

# settings NAME prints to a file of the run's folder.
settings() { cat >"$folder/$1.ini"; }

# start NAME PROGRAM starts a process with its settings.
start() {
  "$bin/$2" --settings "$folder/$1.ini" >"$folder/$1.log" 2>&1 &
  names+=("$1")
  pids+=("$!")
}

# finish stops the processes that still run; after a failure it prints the ends of all logs.
finish() {
  local code=$? i
  trap - EXIT
  if [ "$code" -ne 0 ]; then
    for i in "$folder"/filing-*.log; do [ ! -e "$i" ] || cat "$i"; done
    for i in "${!names[@]}"; do
      echo "== ${names[$i]} (pid ${pids[$i]-none})"
      tail -n 15 "$folder/${names[$i]}.log"
    done
    echo "== calls"
    tail -n 5 "$folder"/filing-* "$folder/last" || true
  fi
  for i in "${!pids[@]}"; do kill -KILL "${pids[$i]}" || true; done 2>/dev/null
  { wait; } 2>/dev/null
  rm -rf "$folder"
  [ "$code" -eq 0 ] || { echo "demo FAILED"; exit 1; }
  echo "demo ok"
}
trap finish EXIT

# until_true SECONDS WHAT COMMAND... repeats a command until it succeeds.
until_true() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >"$folder/last" 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      say "timeout waiting for $what; last output:"
      cat "$folder/last"
      return 1
    fi
    sleep 0.2
  done
}

control_section() {
  echo "[Control]"
  echo "Replicas = $(address 1), $(address 3), $(address 5)"
}

host_section() {
  echo "[Host]"
  echo "Host = $1"
  echo "DataCentre = $2"
  echo "Admin = $3"
}

write_control() {
  local n=$1 dc=$2
  {
    host_section "control-$n" "$dc" "$(address $((n * 2)))"
    echo "[Control]"
    echo "Listen = $(address $((n * 2 - 1)))"
    echo "DataFolder = $folder/control-$n"
    echo "Bootstrap = true"
    echo "[Replicas]"
    echo "Members = control-1@$(address 1), control-2@$(address 3), control-3@$(address 5)"
  } | settings "control-$n"
}

write_dispatcher() {
  local n=$1 dc=$2
  {
    host_section "dispatcher-$n" "$dc" "$(address $((10 + n * 2)))"
    echo "[Dispatcher]"
    echo "Listen = $(address $((9 + n * 2)))"
    control_section
  } | settings "dispatcher-$n"
}

write_router() {
  local n=$1 dc=$2 first=$((17 + $1 * 4))
  {
    host_section "router-$n" "$dc" "$(address $((first + 2)))"
    echo "[Router]"
    echo "Callers = $(address "$first")"
    echo "Targets = $(address $((first + 1)))"
    control_section
    echo "[Dispatchers]"
    echo "Addresses = $(address 11), $(address 13)"
  } | settings "router-$n"
}

write_standin() {
  local name=$1 service=$2 protocol=$3 dc=$4 port=$5
  {
    echo "[Target]"
    echo "Target = $name"
    echo "Service = $service"
    echo "DataCentre = $dc"
    echo "Listen = $(address "$port")"
    echo "Slots = 8"
    echo "Protocol = $protocol"
    echo "[Routers]"
    echo "Announce = $(address 22), $(address 26)"
  } | settings "$name"
}

export FUCHSIASHED_CONTROL FUCHSIASHED_ADMIN
FUCHSIASHED_CONTROL=$(address 1),$(address 3),$(address 5)
FUCHSIASHED_ADMIN=$(address 12),$(address 14),$(address 23),$(address 27)
cli() { "$bin/fuchsiashed" "$@"; }

# call SERVICE ARGUMENTS... sends one request to the fleet.
call() {
  local service=$1
  shift
  "$bin/fuchsiashed-standin" call --host "$(address 21)" --host "$(address 25)" \
    --customer "$customer" --key "example-key-$customer" --service "$service" "$@"
}

# serving COUNT succeeds if exactly COUNT targets are in the state Serving.
serving() { [ "$(cli target list | grep -c $'\tServing\t')" -eq "$1" ]; }

# out_everywhere NAME succeeds if the data centre has targets and all are in the state Out.
out_everywhere() { cli target list --datacentre "$1" | awk -F'\t' '$4 != "Out" {bad=1} END {exit bad || NR == 0}'; }

say "starting 3 control replicas, 2 dispatchers, 2 routers and 6 targets in 2 data centres"
write_control 1 riga-a
write_control 2 riga-b
write_control 3 riga-c
write_dispatcher 1 riga-a
write_dispatcher 2 riga-b
write_router 1 riga-a
write_router 2 riga-b
write_standin drafter-1 drafter Model riga-a 31
write_standin drafter-2 drafter Model riga-a 32
write_standin drafter-3 drafter Model riga-b 33
write_standin drafter-4 drafter Model riga-b 34
write_standin desk-1 permit-desk Plain riga-a 41
write_standin desk-2 permit-desk Plain riga-b 42
for n in 1 2 3; do start "control-$n" fuchsiashed-control; done
for n in 1 2; do start "dispatcher-$n" fuchsiashed-dispatcher; done
for n in 1 2; do start "router-$n" fuchsiashed-router; done
for n in drafter-1 drafter-2 drafter-3 drafter-4 desk-1 desk-2; do start "$n" fuchsiashed-standin; done
until_true 15 "a control leader" cli control status

say "applying $text"
cli fleet apply "$text"
until_true 15 "6 serving targets" serving 6
cli target list

say "one streamed request"
until_true 10 "a streamed answer" call drafter \
  --body '{"messages":[{"role":"user","content":"Draft a terrace permit."}],"stream":true,"max_tokens":12}'
tail -n 3 "$folder/last"
grep -q 'data: \[DONE\]' "$folder/last"

say "one filing, sent twice under the same key"
call permit-desk --path /filings --idempotency-key filing-1 --body '{"Terrace":7}' >"$folder/filing-1" 2>"$folder/filing-1.log"
call permit-desk --path /filings --idempotency-key filing-1 --body '{"Terrace":7}' >"$folder/filing-2" 2>"$folder/filing-2.log"
cat "$folder/filing-1" "$folder/filing-2.log"
cmp "$folder/filing-1" "$folder/filing-2"
request=$(sed -n 's/.* request \([^ ]*\) .*/\1/p' "$folder/filing-1.log")
cli explain "$request"

say "taking riga-b out"
cli datacentre out riga-b
until_true 5 "riga-b to be out" out_everywhere riga-b
cli datacentre list
call drafter --body '{"messages":[{"role":"user","content":"Is my terrace allowed?"}]}'

say "bringing riga-b back"
cli datacentre in riga-b
until_true 10 "6 serving targets" serving 6
cli fleet history

if [ "${FUCHSIASHED_DEMO_HOLD:-0}" -gt 0 ]; then
  say "holding for $FUCHSIASHED_DEMO_HOLD seconds; to use the command line meanwhile:"
  echo "export FUCHSIASHED_CONTROL=$FUCHSIASHED_CONTROL"
  echo "export FUCHSIASHED_ADMIN=$FUCHSIASHED_ADMIN"
  sleep "$FUCHSIASHED_DEMO_HOLD"
fi

say "stopping everything by process id"
for i in "${!pids[@]}"; do kill -TERM "${pids[$i]}"; done
failed=0
for i in "${!pids[@]}"; do
  wait "${pids[$i]}" || { say "${names[$i]} ended with code $?"; failed=1; }
done
pids=()
[ "$failed" -eq 0 ]
