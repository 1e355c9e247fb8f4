#!/bin/sh
# Builds the program that plays the scripted cases of the second review, with all stand-ins that they start.
set -eu
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=readonly go build -o ../../target/review-2 .
