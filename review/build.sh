#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-stand ./review/stand
