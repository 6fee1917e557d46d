#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-cases ] || exit 2
timeout --kill-after=1 118 target/review-2/review-cases old-list review/10
status=$?
[ $status -le 2 ] || status=2
exit $status
