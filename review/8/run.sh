#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
exec timeout -k 5 115 python3 -m 8.case
