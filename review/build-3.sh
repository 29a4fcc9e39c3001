#!/usr/bin/env bash
# Builds the stand-ins that the cases of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/rig-3
