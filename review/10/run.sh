#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccaspread ] && [ -x review/stand-2/bin/lab ] || { echo "build first: the build of the deploy file, and review/build-2.sh" >&2; exit 2; }
RECORD=review/10/record.txt exec review/stand-2/bin/lab bursts
