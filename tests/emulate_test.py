"""Tests of the emulators run as processes."""

import json
import signal
import subprocess
import sys
import urllib.request

import pytest


@pytest.mark.processes
@pytest.mark.parametrize(
    ("kind", "path"),
    [
        ("object-api", "/v1/objects?prefix="),
        ("vm-list", "/v1/vms"),
        ("weight-store", "/v1/weights/m/1"),
        ("runner", "/status"),
        ("service", "/healthz"),
    ],
)
def test_an_emulator_prints_its_address_serves_and_ends(kind, path):
    command = [sys.executable, "-m", "basilpost", "emulate", kind, "--port", "0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            address = json.loads(process.stdout.readline())["address"]
            with urllib.request.urlopen(f"http://{address}{path}", timeout=10) as answer:
                assert answer.status == 200
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=10) == 0
        finally:
            process.kill()
