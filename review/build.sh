#!/bin/sh
# Builds what the cases start besides the nodes. Everything is Python: the stand-ins run from source,
# with the packages of the deploy file's build in target/deps. This compiles them once as a check.
set -e
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" PYTHONPATH="target/deps:.:review/lib" python3 -c "
import bench
from basilpost.emulator import pool_runner, pool_store
"
echo "stand-ins are ready"
