#!/usr/bin/env bash
# Builds what the cases of the second review start. All their stand-ins are Python and need no build; this checks that
# they can be read. The hosts are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/support-2 review/6 review/7 review/8 review/9 review/10 tests/process/support <<'PY'
import pathlib
import sys

for folder in sys.argv[1:]:
    for source in sorted(pathlib.Path(folder).glob("*.py")):
        compile(source.read_text(encoding="utf-8"), str(source), "exec")
PY
