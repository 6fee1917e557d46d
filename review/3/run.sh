#!/usr/bin/env bash
# Plays the case, see claim.txt, and writes record.txt. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. The program ends all processes that it starts; they also end
# when it is killed.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
record=$here/record.txt
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/dfm-platform-scheduler ] || exit 2
timeout -s KILL 118 "$program" "$record" &
play=$!
trap 'kill -TERM $play 2>/dev/null; exit 2' INT TERM
wait $play
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
