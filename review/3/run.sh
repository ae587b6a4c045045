#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it does the same
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quetzald ] && [ -x target/review/lab ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=without
else
	trouble=with
fi
exec target/review/lab forgotten-crashes "$trouble" target/quetzald review/3/record.txt
