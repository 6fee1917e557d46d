#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. $(pkg-config --cflags cpp-httplib))
libraries=($(pkg-config --libs cpp-httplib) -lpthread)
pids=()
for source in review/standin/*.cpp review/[1-5]/*.cpp; do
  object=$out/$(echo "${source#review/}" | tr / -).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ "$out"/standin-*.o "$out/$number-case.cpp.o" -o "$out/case-$number" \
    "${libraries[@]}"
done
