#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quetzallugd ] && [ -x target/review-3/standin4 ] || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
# The stand-in and the gateways that it starts form a process group, which ends with the script.
set -m
QUIET=1 timeout -k 2 117 target/review-3/standin4 streams review/12/record.txt &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
wait $group
code=$?
tail -n 1 review/12/record.txt
[ $code -le 2 ] || code=2
exit $code
