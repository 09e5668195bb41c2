#!/bin/sh
# Builds the stand-ins of the cases into bin/, after the build of deploy/balancer.toml. They are a
# module of their own with no dependency, so that CI and the default test run leave them out.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/rig
CGO_ENABLED=0 go build -o ../../bin/review-rig .
