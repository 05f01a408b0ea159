#!/bin/sh
# Builds the stand-ins of the review: Python of the standard library, which only has to be compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
