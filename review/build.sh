#!/usr/bin/env bash
# Builds the stand-ins and clients of all review scripts. The nodes themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/harness
