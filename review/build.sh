#!/bin/bash
# Builds what the review's scripts start, from the repository's root: their stand-ins, the sidecar as deploy/balancer.toml builds it,
# and the project's own stand-ins that play against it. It needs the Go tool chain, gcc and the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin target
GOFLAGS=-mod=mod GOWORK=off go build -C review/rig -o ../../target/review-rig .
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/petrelhook
go build -tags review -o target/review-keyed ./review/keyed
