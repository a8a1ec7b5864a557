#!/bin/sh
# Builds the stand-ins: all are Python and need only what the deploy file's build has installed.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q src/mustardswitch_standins review
