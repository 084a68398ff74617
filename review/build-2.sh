#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 from source, into target/review-2. It needs only the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-2
mkdir -p "$output"
flags=(-std=c++20 -O2 -g1 -pthread)
for package in core proxy gateway; do
    flags+=(-I "packages/$package/include")
done
flags+=(-I standins/session/include -I testbed/include -I review/stage-2)
sources=(
    packages/gateway/src/{address,base64,http_server,line_stream}.cpp
    standins/session/src/{database_connection,standin_store}.cpp
    testbed/src/{child_process,free_ports}.cpp
    review/stage-2/stage.cpp)
objects=()
for source in "${sources[@]}"; do
    object="$output/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/stage-2/*_case.cpp; do
    g++ "${flags[@]}" "$source" "${objects[@]}" -lcrypto -o "$output/$(basename "$source" .cpp)"
done
