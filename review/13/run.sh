#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 -record review/13/record.txt turn
