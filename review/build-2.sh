#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/: one program a case, from its case.cpp and
# common-2/site.h. They need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for name in 6 7 8 9 10; do
  source=review/$name/case.cpp
  [ -f "$source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I review/common-2 "$source" -o "build-review-2/case-$name"
done
