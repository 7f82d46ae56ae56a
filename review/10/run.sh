#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || { echo "the build of the deploy file has not been run"; exit 2; }
exec ../../.venv/bin/python -B case.py
