#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. The build of
# the deploy file comes first: its libraries hold the packet codec and HTTP code.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
sources=(review/standins/review_scene.cpp review/standins/review_store.cpp
  platform/test/soak_world.cc platform/test/store_stand_in.cc test/support/process.cc)
objects=()
jobs=()
for source in "${sources[@]}"; do
  object=$out/$(basename "${source%.*}").o
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -DBOOST_ASIO_NO_DEPRECATED \
    -DBOOST_ERROR_CODE_HEADER_ONLY -DMSGPACK_NO_BOOST \
    -Ireview/standins -Isrc -Iinclude -Iplatform -Iplatform/test -Itest -c "$source" -o "$object" &
  jobs+=($!)
  objects+=("$object")
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ "${objects[@]}" target/libradishyard_platform.a target/libradishyard.a \
  -lxxhash -llog4cxx -lpopt -lopentracing -labsl_hash -labsl_raw_hash_set -labsl_city -labsl_low_level_hash \
  -lpthread -o "$out/review_scene"
