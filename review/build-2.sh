#!/bin/sh
# Builds the stand-ins of the second review: cases 4 to 8.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/second/stand
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -buildvcs=false -o ../../../target/review-stand .
