#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/6 on into build-review-2/: each file of review/standin-2/ with a main
# function is a program, the others are linked to all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra"
jobs=()
for source in review/standin-2/*.cc; do
    g++ $flags -c "$source" -o "$out/$(basename "$source" .cc).o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
programs=()
common=()
for source in review/standin-2/*.cc; do
    name=$(basename "$source" .cc)
    if grep -q '^int main' "$source"; then
        programs+=("$name")
    else
        common+=("$out/$name.o")
    fi
done
for name in "${programs[@]}"; do
    g++ "$out/$name.o" "${common[@]}" -o "$out/$name"
done
