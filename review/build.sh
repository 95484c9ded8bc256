#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network: they use the standard library and packages of this
# repository only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/standin ./review/standin
