#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
