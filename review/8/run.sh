#!/bin/sh
# Plays this case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/toucanshelf-control ] || exit 2
[ -x target/release/toucanshelf-ingress ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 target/review-2/cases foreign target/release "$folder" review/8/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
