#!/bin/sh
# Builds the stand-ins of the cases: they are scripts of the standard library,
# so this only checks that each of them can be read by the interpreter.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("review: stand-ins are ready")
CHECK
