#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../bin/standin" drained-decoder "$(dirname "$0")"
