#!/bin/bash
# Builds what the scripts of the second review start besides build/oxbowspread: the group's programs, the
# project's stand-ins, and the small stand-ins of review/tools-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
cmake -S . -B $out -DCMAKE_BUILD_TYPE=Release -DOXBOWSPREAD_BUILD_GROUP=ON
cmake --build $out -j4 --target oxbowspread oxbowagent oxbowctl oxbowstandin
for source in review/tools-2/*.cpp; do
  name=$(basename "$source" .cpp)
  echo "$name"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$name" "$source"
done
