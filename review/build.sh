#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
build() {
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin "$1" -o "target/review/$2"
}
build review/standin/platform.cpp platform
build review/standin/minion.cpp minion
for it in review/[1-5]/case.cpp; do
    if [ -e "$it" ]; then build "$it" "case$(basename "$(dirname "$it")")"; fi
done
