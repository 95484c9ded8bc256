#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file: the stand-ins of the workers, the
# store and the clients, which are two programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review2/ ./review/standin2 ./review/standin3
