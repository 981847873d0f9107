#!/usr/bin/env bash
# Plays the case from the root of the repository; see claim.txt. With TROUBLE=0 it does the same without
# the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 target/review/case-2
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
