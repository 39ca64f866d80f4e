#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 110 target/review/repeated-event -record review/1/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
