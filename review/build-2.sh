#!/bin/sh
# Builds the stand-in of the cases 6 to 10. It needs the Go tool chain and nothing from a network.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../bin
GOFLAGS="${GOFLAGS:-} -mod=mod" CGO_ENABLED=0 go build -buildvcs=false -o ../../bin/review-2-standin .
