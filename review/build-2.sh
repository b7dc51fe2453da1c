#!/bin/bash
# Builds the stand-in of the cases review/6 to review/10. Run it in the repository's root.
set -e
mkdir -p target
go build -tags review2 -o target/review-stand-2 ./review/stand-2/
