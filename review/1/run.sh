#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/bin/case$(basename "$here")"
[ -x "$program" ] && [ -x "$root/bin/cottonwell" ] || { echo "not built: run the build of the deploy file and review/build.sh"; exit 2; }
temp=$(mktemp -d) || exit 2
pid=
trap 'rm -rf "$temp"' EXIT
trap '[ -z "$pid" ] || kill "$pid"; exit 2' INT TERM
"$program" "$root" "$here" "$temp" & # its schedulers end with it
pid=$!
wait "$pid"
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
