#!/bin/sh
# Builds the program that the scripts of the third review start, with its stand-ins. The project's own programs are
# built by the deploy file.
set -e
cd "$(dirname "$0")/rig3"
mkdir -p ../../target/review
GOWORK=off go build -buildvcs=false -o ../../target/review/rig3 .
