#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be started. They are Python 3 and use its standard library only.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null
python3 -c 'import sys, tomllib; [compile(open(p, encoding="utf-8").read(), p, "exec") for p in sys.argv[1:]]' lib/*.py [0-9]/*.py
