#!/bin/sh
# Builds what the scripts of this review start besides the entry program: the
# stand-ins in review/rig, which need nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path("review").glob("rig/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"checked {path}")
PYTHON
