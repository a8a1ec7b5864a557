#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. They are Python, use the standard library only, and
# start no program but the project's own.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/standins-3 review/1[1-5]
