#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in review/*/run.sh. It needs no network beyond the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
