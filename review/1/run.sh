#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x bin/wickarch ] && [ -x bin/review-rig ] || { echo "build first"; exit 2; }
exec bin/review-rig half-refusal "$here"
