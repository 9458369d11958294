#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
: > "$here/record.txt" || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "build/review/case$(basename "$here")" "$here/record.txt" "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
