#!/usr/bin/env bash
# run-2.sh CASE FOLDER: plays one case of the second review. Exits with 1 if its rule was broken, 0 if it held, 2 if the
# case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/target/review-2/stand-ins"
if [ ! -x "$program" ]; then
    echo "could not run: review/build-2.sh comes first"
    exit 2
fi
"$program" "$1" "$root" "$2"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
