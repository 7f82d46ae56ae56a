#!/bin/sh
# Builds the stand-ins of the cases: Python modules of the standard library alone, byte-compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
