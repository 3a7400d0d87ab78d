#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts: one program a case, review/N/case.
set -euo pipefail
cd "$(dirname "$0")"
for source in */case.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "${source%.cc}" "$source"
done
