#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/standins-2/target BudgetCase . review/8/record.txt
