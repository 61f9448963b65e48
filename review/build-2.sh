#!/usr/bin/env bash
# Builds the programs of the cases of the second review, with their stand-ins,
# into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review/case-$number" "$source"
done
