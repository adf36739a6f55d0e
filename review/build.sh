#!/usr/bin/env bash
# Builds the stand-ins of the cases.  They are Python with the standard library
# only, so this checks that they compile; the programs are built by deploy/.
cd "$(dirname "$0")" && python3 -m compileall -q -f lib [0-9]*/case.py
