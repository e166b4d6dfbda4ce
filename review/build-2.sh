#!/bin/sh
# Builds what the scripts 6 to 9 start besides the nodes. Everything is Python: the stand-ins, the project's
# emulators among them, run from source, with the packages of the deploy file's build in target/deps. This
# compiles them as a check.
set -e
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" PYTHONPATH="target/deps:.:review/lib:review/lib-2:review/lib-3" python3 -c "
import py_compile, sys
import bench, stage, stand_ins
from basilpost.emulator import pool_fleet, pool_runner, pool_store, silent_connections
for name in ('runner', 'spoiling_runner'):
    py_compile.compile(f'review/lib-3/{name}.py', doraise=True)
"
echo "stand-ins are ready"
