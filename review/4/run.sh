#!/bin/sh
# Runs the case once: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. What happened stands in record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in bin/wickarch bin/coordinator bin/agent bin/wickarch-fleet review/bin/standins; do
	[ -x "$program" ] || { echo "$program is missing: build first" >&2; exit 2; }
done
exec review/bin/standins long-answers "$here"
