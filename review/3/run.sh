#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the outage out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=review
exec timeout -k 5 118 .venv/bin/python review/3/case.py
