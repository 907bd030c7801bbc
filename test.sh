#!/usr/bin/env bash
# The test command of the README: checks formatting, runs go vet and staticcheck, and runs the
# tests in a release build, in a debug build with assertions, and, without the long simulations,
# under the race detector. Skips only the tests that KNOWN-RED.txt lists, and prints them.
set -euo pipefail
cd "$(dirname "$0")"

# KNOWN-RED.txt holds at most three tests, one per line: 'PACKAGE TEST | cause | issue N'.
declare -A red=()
if [ -f KNOWN-RED.txt ]; then
  n=0 lines=0
  while IFS= read -r line || [ -n "$line" ]; do
    n=$((n + 1))
    case "$line" in '' | '#'*) continue ;; esac
    lines=$((lines + 1))
    if ! [[ $line =~ ^(\./[a-zA-Z0-9_/.-]+)\ (Test[A-Za-z0-9_]+)((/[A-Za-z0-9_.-]+)*)\ \|\ .+\ \|\ issue\ [0-9]+$ ]]; then
      echo "KNOWN-RED.txt:$n: wanted './PACKAGE TEST | cause | issue N': $line" >&2
      exit 1
    fi
    package=$(go list "${BASH_REMATCH[1]}") top=${BASH_REMATCH[2]} name=${BASH_REMATCH[2]}${BASH_REMATCH[3]}
    listed=$(go test -list "^$top\$" "$package")
    if ! grep -qx "$top" <<<"$listed"; then
      echo "KNOWN-RED.txt:$n: $package has no $top" >&2
      exit 1
    fi
    echo "known red, passed over: $line"
    red[$package]+="${red[$package]:+|}^${name//\//\$/^}\$"
  done <KNOWN-RED.txt
  if [ "$lines" -gt 3 ]; then
    echo "KNOWN-RED.txt: $lines tests; three at most" >&2
    exit 1
  fi
fi

# tests runs 'go test' with the given flags on all packages and skips the listed tests.
tests() {
  local all package others=()
  all=$(go list ./...)
  for package in $all; do
    [ -n "${red[$package]:-}" ] || others+=("$package")
  done
  [ ${#others[@]} -eq 0 ] || go test "$@" "${others[@]}"
  for package in "${!red[@]}"; do
    go test "$@" -skip "${red[$package]}" "$package"
  done
}

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "gofmt needed: $unformatted" >&2
  exit 1
fi
go vet ./...
go vet -tags debug ./...
go tool staticcheck ./...
tests
tests -tags debug
tests -race -short
