#!/bin/sh
# Builds what the scripts of cases 11 to 15 start besides the entry processes:
# the project's stand-ins and those in review/kit3. All of them are Python and
# use the libraries that the build of the deploy file has placed under
# target/deps, so that they only have to be checked.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:. exec python3 -c '
import support.standins.store
import support.standins.workers
import review.kit3.gang_workers
import review.kit3.late_workers
import review.kit3.site
import review.kit3.tunnel
import review.kit3.verdict
'
