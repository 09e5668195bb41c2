#!/bin/sh
# Builds the stand-ins and drivers of all cases into review/bin. They use Go's standard library alone.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standins .
