#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
