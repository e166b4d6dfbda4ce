"""Runs emulators and nodes in child processes for measurements."""

import contextlib
import json
import subprocess
import sys
from collections.abc import Iterator

_STOP_TIMEOUT_SECONDS = 10.0


@contextlib.contextmanager
def started(*arguments: str, module: str = "basilpost") -> Iterator[tuple[str, int]]:
    """Runs `python -m MODULE ARGUMENTS`; yields the address that it prints, and its process id.

    The process is terminated on exit, and killed if it has not ended after 10 s.
    """
    command = [sys.executable, "-m", module, *arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            yield json.loads(process.stdout.readline())["address"], process.pid
        finally:
            process.terminate()
            try:
                process.wait(_STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
