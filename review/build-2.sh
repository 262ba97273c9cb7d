#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/*.cpp -o target/review-2/standin
