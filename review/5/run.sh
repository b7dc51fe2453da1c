#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-stand ] && [ -x target/zinniatide ] || { echo "build the programs first"; exit 2; }
exec target/review-stand forged "$here"
