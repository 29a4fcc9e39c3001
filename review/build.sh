#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
	name=$(basename "$(dirname "$main")")
	go build -o "target/review/$name" "./review/$name"
done
