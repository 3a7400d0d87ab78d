#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the second review (review/6 to 9) into
# build-review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
programs=(crashing_part forgotten cold weights)
for name in "${programs[@]}"; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -D_TURN_OFF_PLATFORM_STRING \
    "review/rig-2/$name.cpp" -o "build-review-2/$name" -lcpprest -lboost_system -lssl -lcrypto &
done
for name in "${programs[@]}"; do wait -n; done
