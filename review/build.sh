#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand
GOWORK=off go build -o ../../target/review-stand .
