#!/bin/sh
# Builds what the scripts 6 to 10 start besides the nodes. The stand-ins are the project's emulators and
# run from source, with the packages of the deploy file's build in target/deps. This compiles them as a
# check.
set -e
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" PYTHONPATH="target/deps:.:review/lib-2" python3 -c "
import relay, stage
from basilpost.emulator import pool_fleet, pool_runner, pool_store
"
echo "stand-ins are ready"
