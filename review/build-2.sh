#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cc)"
done
