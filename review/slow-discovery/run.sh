#!/usr/bin/env bash
# With TROUBLE=0 it does the same without the disruption (lets discovery answer at once), and must pass.
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE=${TROUBLE:-1}
exec "$here/../run-2.sh" slow-list "$here"
