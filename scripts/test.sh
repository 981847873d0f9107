#!/usr/bin/env bash
# Checks and tests the packages given. Failures listed in KNOWN-RED.txt are printed
# and passed over; any other failure fails the run.
set -u
cd "$(dirname "$0")/.."
packages=("$@")
failed=0

step() {
  echo "== $1"
  shift
  "$@" || { echo "FAILED: $*"; failed=1; }
}

format() {
  local files
  files=$(go tool gofumpt -l $(git ls-files '*.go' | xargs -r -n1 dirname | sort -u)) || return 1
  [ -z "$files" ] || { echo "$files"; return 1; }
}

fuzz() {
  local dir target
  git grep -l '^func Fuzz' -- '*_test.go' | while read -r file; do
    dir=$(dirname "$file")
    for target in $(grep -o '^func Fuzz[A-Za-z0-9]*' "$file" | cut -d' ' -f2); do
      go test "./$dir" -run '^$' -fuzz "^$target\$" -fuzztime 2000x || exit 1
    done
  done
}

# Builds what deploy/system.toml builds, into a folder of its own.
deployment() {
  local out
  out=$(mktemp -d)
  grep -q '^build = "go build -ldflags=-linkmode=external -o target/ ./platform/cmd/..."$' deploy/system.toml || return 1
  go build -ldflags=-linkmode=external -o "$out/" ./platform/cmd/...
  local code=$?
  rm -rf "$out"
  return $code
}

# Prints "package TestName" for each failed top-level test, and "package -" for a
# package that failed without naming a test.
failures() {
  awk '{sub(/^[.x]*---/,"---")} /^--- FAIL: /{n[++k]=$3} /^(ok|FAIL|---|\?)[ \t]/{if($1=="FAIL"&&$2!=""){if(!k)print $2" -";for(i=1;i<=k;i++)print $2" "n[i];k=0}else if($1=="ok")k=0}' "$1"
}

# tests FLAGS... runs tests and checks their failures against KNOWN-RED.txt.
tests() {
  local log known bad=0 line
  log=$(mktemp)
  go test -race -count=1 "$@" 2>&1 | grep --line-buffered -v -e '^[.]*$' -e 'total assertions$' -e 'no test files' | tee "$log"
  [ "${PIPESTATUS[0]}" -eq 0 ] && { rm -f "$log"; return 0; }
  known=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | sed 's/ *$//')
  while read -r line; do
    if grep -qxF "$line" <<<"$known"; then
      echo "KNOWN RED: $(grep -F "$line" KNOWN-RED.txt)"
    else
      echo "RED: $line"
      bad=1
    fi
  done < <(failures "$log")
  [ -n "$(failures "$log")" ] || bad=1
  rm -f "$log"
  return $bad
}

step "gofumpt" format
step "revive" go tool revive -set_exit_status "${packages[@]}"
step "vet" go vet "${packages[@]}"
step "build" go build "${packages[@]}"
step "build of the deployment" deployment
# Tests with real sockets and processes run one package at a time: their time bounds
# are those of the product.
decisions=()
processes=()
for p in "${packages[@]}"; do
  case $p in
    ./fleet/... | ./bench/... | ./cli/...) decisions+=("$p") ;;
    *) processes+=("$p") ;;
  esac
done
step "test of decisions" tests -timeout 10m "${decisions[@]}"
step "test of processes" tests -timeout 15m -p 1 "${processes[@]}"
step "fuzz" fuzz
if [ "$failed" -ne 0 ]; then echo "test FAILED"; exit 1; fi
echo "test ok"
