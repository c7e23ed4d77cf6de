#!/usr/bin/env bash
# Exit status 1: an added route is served less than a quarter as often as the first one in steady state; 0: it is not; 2:
# the case could not run. TROUBLE=0 loses no answer. Writes record.txt beside it.
export TROUBLE=${TROUBLE:-1}
exec python3 -B "$(dirname "$0")/case.py"
