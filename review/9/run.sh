#!/bin/sh
# Plays the case 'partial' of review/standin2. It exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-standin2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec bin/review-standin2 partial "$PWD" "$PWD/review/9"
