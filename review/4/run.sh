#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/boragepick-platformd ] && [ -x target/review/case-4 ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout 110 target/review/case-4 review/4 "$temporary"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
