#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case "${TROUBLE:-1}" in
	0) trouble=false ;;
	*) trouble=true ;;
esac
exec java -Dtrouble=$trouble -cp review/standins-2/target BudgetCase . review/8/record.txt
