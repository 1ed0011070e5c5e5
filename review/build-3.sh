#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, beside the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig-3 ./review/rig-3
