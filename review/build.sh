#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/rig
