#!/bin/sh
# Plays the case with real gateway processes. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. The deploy file's build and review/build-2.sh come before.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
[ -x target/quetzallugd ] && [ -x target/review3 ] || exit 2
exec target/review3 -case stale-entry -record "$dir/record.txt"
