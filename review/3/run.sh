#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" && exec python3 case.py
