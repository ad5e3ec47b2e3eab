#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the
# build of the deploy file. Uses the headers of the product and the project's own
# store stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY
  -Isrc -Iinclude -Itest -Iplatform -Iplatform/test -Ireview/standins-2)
objects=()
compile() { # SOURCE: compiles it unless its object is newer than all sources
  local object
  object=$out/$(basename "${1%.*}").o
  objects+=("$object")
  if [ -e "$object" ] && [ -z "$(find "$1" review/standins-2 -newer "$object" -name '*.[hc]*' | head -n 1)" ]; then
    return
  fi
  echo "compile $1"
  g++ "${flags[@]}" -c "$1" -o "$object"
}
for source in packet record server caller world; do
  compile "review/standins-2/$source.cpp"
done
compile platform/test/store_stand_in.cc
compile test/support/process.cc
shared=("${objects[@]}")
for main in review/standins-2/*_main.cpp; do
  name=$(basename "$main" _main.cpp)
  objects=()
  compile "$main"
  g++ "${objects[@]}" "${shared[@]}" -o "$out/${name}_case" -lpthread
done
echo "built: $(cd "$out" && ls ./*_case | tr '\n' ' ')"
