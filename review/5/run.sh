#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH=target/deps:src:review
python3 -c "import standins" || exit 2
exec python3 "$here/case.py"
