#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quetzald ] && [ -x target/review/lab ] || exit 2
exec target/review/lab forgotten-crashes target/quetzald review/3/record.txt
