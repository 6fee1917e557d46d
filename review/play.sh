#!/usr/bin/env bash
# Plays the case of the folder that is named. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/dfm-platform-scheduler ] || exit 2
timeout -s KILL 118 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
