#!/bin/bash
# Builds the cases 11 to 15 and their stand-ins, which lie in review/11. They are Python, use the
# standard library only, and start no program but the project's own.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/1[1-5]
