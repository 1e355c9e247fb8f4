#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-3 .
