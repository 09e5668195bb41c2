#!/bin/sh
# Builds the stand-ins, after the build of deploy/balancer.toml: bin/review-rig plays the cases and some other
# faults, review/bin/standins the entries of an earlier review that are no cases any more. Both are modules
# of their own with no dependency, so that CI and the default test run leave them out.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin review/bin
export GOWORK=off CGO_ENABLED=0
(cd review/rig && go build -o ../../bin/review-rig .)
(cd review/standins && go build -o ../bin/standins .)
