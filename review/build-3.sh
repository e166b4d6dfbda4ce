#!/bin/sh
# Builds what the scripts from 11 on start besides the nodes. Everything is Python: the stand-ins, the
# project's emulators among them, run from source, with the packages of the deploy file's build in
# target/deps. This compiles and imports them as a check.
set -e
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" PYTHONPATH="target/deps:.:review/lib-4" python3 -c "
import pathlib, py_compile
import stage
from basilpost.emulator import pool_fleet, pool_runner, pool_store, silent_connections, stream_endings
for path in sorted(pathlib.Path('review').glob('1[1-5]/*.py')):
    py_compile.compile(str(path), doraise=True)
"
echo "stand-ins are ready"
