#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. It needs no network.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/rig2 .
