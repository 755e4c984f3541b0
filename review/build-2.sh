#!/usr/bin/env bash
# Checks what the scripts of cases 6 to 10 need beside the program. Their stand-ins are in Python (review/lib-2) and need no build.
set -eu
cd "$(dirname "$0")/.."
python3 - review/lib-2/stage.py $(ls review/{6,7,8,9,10}/case.py 2>/dev/null) <<'PYTHON'
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PYTHON
test -x target/mulberryplank || echo 'target/mulberryplank is missing: run the build of deploy/system.toml first'
