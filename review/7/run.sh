#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=on
if [ "${TROUBLE:-1}" = 0 ]; then trouble=off; fi
timeout -k 2 116 target/review/case-7 review/7/record.txt "$trouble"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
