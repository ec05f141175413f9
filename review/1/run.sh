#!/usr/bin/env bash
# Many programs continue with the same input while engines lose a few answers.
# TROUBLE=0 plays it without lost answers. Exit status: 0 rule held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 112 java -Xmx256m -cp review/target review.SameInput review/1/record.txt
status=$?
((status <= 1)) && exit "$status"
exit 2
