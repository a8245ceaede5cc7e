#!/bin/bash
# Builds the program as the deploy file does, and the stand-ins of the scripted
# cases. It needs no network once the modules are in the cache.
cd "$(dirname "$0")/.." || exit 2
go build -ldflags=-linkmode=external -o target/ ./cmd/... || exit 2
go build -tags review -o target/review-harness ./review/harness || exit 2
