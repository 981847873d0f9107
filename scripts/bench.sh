#!/usr/bin/env bash
# Runs all experiments and prints one figure a line: name value unit.
# Arguments go to fuchsiashed-bench, such as --json FILE or --only REGEXP.
set -eu
cd "$(dirname "$0")/.."
exec bin/fuchsiashed-bench "$@"
