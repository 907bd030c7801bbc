#!/bin/sh
# Builds the stand-ins of all cases into review/bin. It needs the Go tool chain and the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*; do
  [ -f "$folder/main.go" ] || continue
  go build -o "review/bin/case$(basename "$folder")" "./$folder"
done
