#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10 into target/review-2. To be run
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin-2/*.cpp \
  -o target/review-2/review-cases
