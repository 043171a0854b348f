#!/bin/sh
# Builds every stand-in that the scripts start, with the compiler alone and no dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-type rlib --crate-name standin -o target/review/libstandin.rlib review/standin/lib.rs
for source in review/standin/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O --extern standin=target/review/libstandin.rlib -o "target/review/$name" "$source"
done
