#!/bin/bash
# Builds the cases with their stand-ins into build-review. Needs the packages of the deploy file and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o "build-review/case-$number" "$source"
done
