#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review, with the stand-ins that they start. The program
# under test is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness2
