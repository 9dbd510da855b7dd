#!/usr/bin/env bash
# run-2.sh CASE FOLDER: plays one case of the second review. Exits with 1 if its rule was broken, 0 if it held, 2 if the
# case could not run. Whatever ends it, it leaves no process and no folder behind.
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/target/review-2/stand-ins"
if [ ! -x "$program" ]; then
    echo "could not run: review/build-2.sh comes first"
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
end() {
    trap '' INT TERM HUP
    kill -KILL "$stand_ins" 2> /dev/null
    wait "$stand_ins" 2> /dev/null
    # Sidecars still running, by the ids that the stand-ins wrote down. A number that is another program's by now stays.
    while read -r id; do
        if grep -qs havenplank "/proc/$id/cmdline"; then
            kill -KILL "$id"
            for _ in 1 2 3 4 5 6 7 8 9 10; do
                grep -qs havenplank "/proc/$id/cmdline" && sleep 0.05
            done
        fi
    done < <(cat "$TMPDIR/sidecars" 2> /dev/null)
    rm -rf "$TMPDIR"
}
trap end EXIT
trap 'trap "" INT TERM HUP; exit 2' INT TERM HUP
"$program" "$1" "$root" "$2" &
stand_ins=$!
wait "$stand_ins"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
