#!/bin/sh
# Runs the case; exit code 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the cut out; CUT_S sets its length.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../../../target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
