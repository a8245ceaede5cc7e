#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/stand3 ] && [ -x target/curlewsilld ] || exit 2
exec target/stand3 stray target/curlewsilld review/9/record.txt
