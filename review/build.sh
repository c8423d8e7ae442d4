#!/bin/bash
# Builds the stand-ins of the review's scripts, from the repository's root. It needs the Go tool chain and no module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-mod=mod GOWORK=off go build -C review/rig -o ../../target/review-rig .
