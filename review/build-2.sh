#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
go build -o target/review-2/rig-2 ./review/rig-2
