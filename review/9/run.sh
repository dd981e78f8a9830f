#!/bin/bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccausher ] && [ -x target/review-2 ] || exit 2
exec target/review-2 outage-budget target/yuccausher review/9/record.txt
