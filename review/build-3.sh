#!/bin/bash
# Builds the stand-ins that the scripts of the third review start. Run it in the root of
# the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/stand-3
go build -tags review3 -o target/stand-3/stand-3 ./review/stand-3
