#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec ../standins/target/release/start_after_cancellation ../..
