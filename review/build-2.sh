#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python (standard library only), so this checks
# that they compile; the controllers are built by the `build` step of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile common2/*.py [4-8]/*.py
