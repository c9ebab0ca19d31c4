#!/bin/sh
# Starts the daemon and the stand-ins of review/stand-ins-2 on loopback addresses. Needs the build of the deploy file and
# review/build-2.sh. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
for program in target/release/hoplandingd target/review-2/release/review-cases-2; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-2/release/review-cases-2 streams "$folder/record.txt"
