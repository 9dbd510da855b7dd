#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
command -v python3 >/dev/null || exit 2
exec python3 -B "$(dirname "$0")/case.py"
