#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs into build/review. Needs the packages of the deploy
# file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
build() { # SOURCE OBJECT
    g++ "${flags[@]}" -c "$1" -o "$2"
}
objects=()
jobs=()
for source in review/standins/*.cpp; do
    object="build/review/$(basename "$source" .cpp).o"
    objects+=("$object")
    build "$source" "$object" &
    jobs+=($!)
done
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    build "$source" "build/review/case_$(basename "$(dirname "$source")").o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for object in build/review/case_[1-5].o; do
    [ -e "$object" ] || continue
    g++ "${flags[@]}" "$object" "${objects[@]}" -o "${object%.o}"
done
