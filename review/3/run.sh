#!/bin/sh
# Play the case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
[ -d target/deps/hyssopspring ] || exit 2
exec timeout -k 5 110 python3 review/3/case.py
