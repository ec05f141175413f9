#!/usr/bin/env bash
# A request without a body crashes each engine that begins to run it, and comes again.
# TROUBLE=0 plays it with engines that survive. Exit status: 0 rule held, 1 broken, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 112 java -Xmx256m -cp review/target review.CrashingGet review/2/record.txt
status=$?
((status <= 1)) && exit "$status"
exit 2
