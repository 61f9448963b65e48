#!/usr/bin/env bash
# Builds the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review/case-$name" "$source"
done
