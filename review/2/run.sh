#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand-in ] || { echo "run review/build.sh first" >&2; exit 2; }
TROUBLE=${TROUBLE:-1}
STOP_FILE=$(mktemp -u) || exit 2
export TROUBLE STOP_FILE
target/review/stand-in late-crash review/2/record.txt &
child=$!
# The stand-in ends all processes that it has started before it ends itself.
trap 'touch "$STOP_FILE"; wait "$child"; rm -f "$STOP_FILE"; exit 2' TERM INT HUP
wait "$child"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
