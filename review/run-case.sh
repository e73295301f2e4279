#!/usr/bin/env bash
# run-case.sh CASE RECORD: runs a case of the review and writes its record.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
review=$(cd "$(dirname "$0")" && pwd)
kit=$review/bin/review-kit
router=$review/../target/teaselgate
for program in "$kit" "$router"; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
exec "$kit" "$1" "$router" "$2"
