#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts of this review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/stand2
