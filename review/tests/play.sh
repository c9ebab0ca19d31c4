#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Ends all that it started, whatever happens.
set -uo pipefail
cd "$(dirname "$0")/../.."
TMPDIR=$(mktemp -d)
export TMPDIR
set -m
review/tests/site/target/release/review-site "$1" "$2/record.txt" &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
