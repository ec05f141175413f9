#!/usr/bin/env bash
# A turn that takes longer than the retention of its chain is followed by another one.
# TROUBLE=0 plays it with short turns. Exit status: 0 rule held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 112 java -Xmx256m -cp review/target review.LongTurn review/4/record.txt
status=$?
((status <= 1)) && exit "$status"
exit 2
