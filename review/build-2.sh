#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: they
# are Python programs, so they are compiled in memory and the libraries are looked up.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the deploy build" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps exec python3 - <<'PYTHON'
import importlib
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for name in ("standins.metastore", "oleanderroute.host.main"):
    importlib.import_module(name)
review = pathlib.Path("review")
programs = [review / "fleet_2.py", review / "backend_2.py"]
programs += [review / str(number) / "case.py" for number in range(6, 11)]
for path in programs:
    if path.exists():
        compile(path.read_bytes(), str(path), "exec")
print("built")
PYTHON
