#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The deploy file's build has to run before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin2 ./review/standin2
