#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 and their stand-ins, with the compiler alone: no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
  n=$(basename "$(dirname "$source")")
  rustc --edition 2021 -O -o "target/review-2/case-$n" "$source"
done
