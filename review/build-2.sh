#!/bin/sh
# Builds the stand-ins of the second review. They need the standard library of Python only.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins_2.py
