#!/bin/sh
# Build the stand-ins of the cases. They need nothing but Python itself.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
python3 - <<'END'
import pathlib
import py_compile

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    name = str(path).replace("/", ".") + "c"
    py_compile.compile(str(path), f"target/review/{name}", doraise=True)
END
