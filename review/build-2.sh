#!/bin/sh
# Builds what the cases of the second review start beside the program: stand-ins on the standard library alone.
# They run from their sources with the interpreter of the deploy file's build; this checks that they load.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
PYTHONPATH="$root/review" "$root/.venv/bin/python" -B -c "import stand_ins_2"
