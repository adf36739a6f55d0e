#!/usr/bin/env bash
# Plays the case; exit 1: the rule was broken, 0: it held, 2: it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review
python3 -c "import stand_ins.record, stand_ins.small, stand_ins.streams" || exit 2
exec python3 review/7/case.py
