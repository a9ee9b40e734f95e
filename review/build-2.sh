#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the entry
# program: the stand-ins are Python and use the libraries of target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:." PYTHONDONTWRITEBYTECODE=1
python3 -c 'import aiohttp, msgspec, support.standins.store'
for file in review/kit2/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
