#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ./case ] && [ -x ../../target/packages/daemon/zinnianotchd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 118 ./case "$(cd ../.. && pwd)" "$folder" "$PWD/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
