#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They are Python files of review/standins-3, which need only its standard
# library, so this checks that they can be read; of the project's own stand-ins they start none.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
