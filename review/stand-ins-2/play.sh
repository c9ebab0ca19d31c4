#!/bin/sh
# play.sh CASE FOLDER: runs a case and writes FOLDER/record.txt. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. Needs the build of the deploy file and review/build-2.sh. Ends what it started, also if it is stopped.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-cases-2
for needed in target/release/hoplandingd "$program"; do
    [ -x "$needed" ] || { echo "$needed is missing" >&2; exit 2; }
done
case ${TROUBLE:-1} in 0 | 1) ;; *) echo "TROUBLE is 0 or 1" >&2; exit 2 ;; esac
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
runner=

# The program notes the ids of the daemons that it starts in the temporary folder, and ends them itself if it can.
clean_up() {
    [ -z "$runner" ] || kill "$runner" 2>/dev/null
    [ -z "$runner" ] || wait "$runner" 2>/dev/null
    if [ -f "$TMPDIR/pids" ]; then
        while read -r pid; do
            [ "$(cat "/proc/$pid/comm" 2>/dev/null)" != hoplandingd ] || kill -KILL "$pid" 2>/dev/null
        done < "$TMPDIR/pids"
    fi
    rm -rf "$TMPDIR"
}
trap 'clean_up; exit 2' HUP INT TERM

timeout -k 2 110 "$program" "$1" "$2/record.txt" &
runner=$!
wait "$runner"
verdict=$?
runner=
clean_up
case $verdict in 0 | 1) exit "$verdict" ;; *) exit 2 ;; esac
