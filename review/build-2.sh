#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they are Python programs (review/4/standins.py, and the project's
# tests/platform/soak), so they are only checked. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/[4-8]/*.py tests/platform/soak/store.py tests/platform/soak/link.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
