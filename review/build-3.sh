#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/rig-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
