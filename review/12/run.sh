#!/usr/bin/env bash
# Runs the case, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-12 ] && [ -x target/packages/daemon/quetzalrockd ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/case-12 review/12
