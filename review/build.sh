#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/cases"
GOWORK=off go build -buildvcs=false -o ../../target/review-cases .
