"""Tests of the operators' commands against a node's administration API in a thread of its own."""

import asyncio
import json
import threading

import pytest
from click import testing

from basilpost.admin import api, fakes, install
from basilpost.cli import main
from basilpost.core import names
from basilpost.members import fakes as member_fakes
from basilpost.store import memory

BUNDLE = """{
  // One model service and who may call it.
  "failure_domains": {"kz-a": {"region": "kz"}},
  "services": {"clearance": {"kind": "model", "pool": "gpu", "model": "m", "model_version": "1"}},
  "workspaces": {"arkhiv": {"services": ["clearance"]}},
}"""


class NodeThread:
    """Runs a node's administration API on an event loop of its own."""

    def __init__(self):
        self.ready = threading.Event()
        self.thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self.thread.start()
        assert self.ready.wait(10)

    async def _run(self):
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        store, hub = memory.MemoryStore(), member_fakes.PeerHub()
        self.node = fakes.NodeParts(node_id="node-0", store=store, hub=hub)
        install.install(self.node.kernel)
        await self.node.kernel.start()
        self.port = self.node.kernel.find(names.ADMIN, api.AdminApi).port
        self.ready.set()
        await self.stopping.wait()
        await self.node.kernel.stop()

    def stop(self):
        self.loop.call_soon_threadsafe(self.stopping.set)
        self.thread.join(10)


@pytest.fixture
def node():
    thread = NodeThread()
    yield thread
    thread.stop()


@pytest.fixture
def run(node):
    environment = {
        "BASILPOST_ADMIN": f"http://127.0.0.1:{node.port}",
        "BASILPOST_TOKEN": fakes.ADMIN_TOKEN,
    }

    def invoke(*arguments, **kwargs):
        return testing.CliRunner(env=environment).invoke(main.main, list(arguments), **kwargs)

    return invoke


@pytest.fixture
def bundle_file(tmp_path):
    path = tmp_path / "arkhiv.jsonc"
    path.write_text(BUNDLE)
    return str(path)


def test_check_apply_diff_show(run, bundle_file):
    assert run("config", "check", bundle_file).exit_code == 0
    first = run("config", "apply", bundle_file, "--reason", "start", "--wait")
    assert first.exit_code == 0, first.output
    assert "create config/services/clearance: accepted as version" in first.output
    assert "in force on node-0" in first.output
    assert run("config", "diff", bundle_file).output == "nothing to change\n"
    shown = json.loads(run("config", "show").output)
    assert shown["workspaces"]["arkhiv"]["services"] == ["clearance"]
    one = json.loads(run("config", "show", "services", "clearance").output)
    assert one["services"]["clearance"]["model"] == "m"


def test_apply_keeps_what_other_commands_changed(run, bundle_file, tmp_path):
    run("config", "apply", bundle_file)
    changed = tmp_path / "changed.jsonc"
    changed.write_text(BUNDLE.replace('"region": "kz"', '"region": "kz-south"'))
    diff = run("config", "diff", str(changed))
    assert diff.output == 'update config/failure_domains/kz-a\n  region: "kz" -> "kz-south"\n'


def test_prune_deletes_what_the_file_does_not_name(run, bundle_file, tmp_path):
    run("config", "apply", bundle_file)
    smaller = tmp_path / "smaller.jsonc"
    smaller.write_text(BUNDLE.replace('"kz-a"', '"kz-b"'))
    result = run("config", "apply", str(smaller), "--prune")
    assert "delete config/failure_domains/kz-a" in result.output
    assert list(json.loads(run("config", "show").output)["failure_domains"]) == ["kz-b"]


def test_exit_codes(run, bundle_file, tmp_path):
    bad = tmp_path / "bad.jsonc"
    bad.write_text('{"services": {"s": {"kind": "model", "pool": 7, "colour": "red"}}}')
    result = run("config", "check", str(bad))
    assert result.exit_code == 2
    assert "services.s.pool: found 7, allowed: a string" in result.output
    assert "services.s.colour: found an unknown key" in result.output
    assert run("config", "apply", str(bad)).exit_code == 2
    assert run("config", "check", str(tmp_path / "none.jsonc")).exit_code == 2
    assert run("config", "colour").exit_code == 2
    assert run("config", "show", "--token", "wrong").exit_code == 1
    unreachable = run("config", "show", "--admin", "http://127.0.0.1:1")
    assert unreachable.exit_code == 1
    assert "no answer from http://127.0.0.1:1" in unreachable.output
    assert run("config", "show", "--admin", "nowhere").exit_code == 2
