#!/usr/bin/env bash
# The stand-ins of the second review (rig2.py and the case.py of a folder) are Python and run inside the scripts, so
# nothing has to be built. This only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig2.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
