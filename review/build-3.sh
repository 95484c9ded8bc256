#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, beside the gateway of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
mkdir -p target/review-3
go build -o target/review-3/ ./review/standin4
