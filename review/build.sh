#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They
# are Python modules that use libraries of target/deps; there is nothing to
# compile, so that this only checks that they can be imported.
cd "$(dirname "$0")" || exit 1
PYTHONPATH=../target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 -c \
  'from lib import site, standins; print("stand-ins are ready")'
