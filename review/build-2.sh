#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p bin
GOWORK=off go build -o bin/lab .
