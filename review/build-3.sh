#!/bin/sh
# Builds the stand-ins of the cases of the third review. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-3/$name" "$source"
done
