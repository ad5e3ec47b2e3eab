#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later into target/review-3/. The project's
# own stand-in for the store is built with them.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g0 -Wall -Wextra -Isrc -Iinclude -Iplatform/test -Ireview/standins-3
  -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY)
compile() { g++ "${flags[@]}" -c "$1" -o "$out/$(basename "${1%.*}").o"; }
pids=()
for source in platform/test/store_stand_in.cc review/standins-3/*.cpp; do
  compile "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for main in review/standins-3/*_main.cpp; do
  name=$(basename "$main" _main.cpp)
  g++ "$out/${name}_main.o" "$out/world.o" "$out/store_stand_in.o" -o "$out/$name" -pthread
done
