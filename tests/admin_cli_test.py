"""Tests of the operators' commands against a node's administration API in another thread."""

import asyncio
import importlib.resources
import json
import pathlib
import threading

import pytest
import structlog
from click import testing

from basilpost.admin import api, fakes, install, proposals
from basilpost.cli import main
from basilpost.core import names
from basilpost.members import fakes as member_fakes
from basilpost.store import memory

EXAMPLES = importlib.resources.files("basilpost.settings") / "examples"
BUNDLE = """{
  // One model service and who may call it.
  "failure_domains": {"kz-a": {"region": "kz"}},
  "services": {"clearance": {"kind": "model", "pool": "gpu", "model": "m", "model_version": "1"}},
  "workspaces": {"arkhiv": {"services": ["clearance"]}},
}"""


class NodeThread:
    """A thread with an event loop that runs a node's administration API."""

    def __init__(self):
        self.ready = threading.Event()
        self.thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self.thread.start()
        assert self.ready.wait(10)

    async def _run(self):
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        store, hub = memory.MemoryStore(), member_fakes.PeerHub()
        self.node = fakes.FakeNode(node_id="node-0", store=store, hub=hub)
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
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    thread = NodeThread()
    yield thread
    thread.stop()
    structlog.reset_defaults()


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
    shown_service = json.loads(run("config", "show", "services", "clearance").output)
    assert shown_service["services"]["clearance"]["model"] == "m"


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
    unsent = run("key", "create", "arkhiv", "--admin", "http://127.0.0.1:1")
    assert "earlier try" not in unsent.output
    assert run("config", "show", "--admin", "nowhere").exit_code == 2


def test_generate_then_apply_an_example(run, tmp_path):
    answers = str(EXAMPLES / "caja-municipal.jsonc")
    made = tmp_path / "caja.jsonc"
    assert run("config", "generate", answers, "-o", str(made)).exit_code == 0
    assert run("config", "check", str(made)).exit_code == 0
    applied = run("config", "apply", str(made), "--wait")
    assert applied.exit_code == 0, applied.output
    assert run("config", "diff", str(made)).output == "nothing to change\n"
    settings = tmp_path / "entry-1.jsonc"
    assert (
        run("config", "generate", answers, "--node", "entry-1", "-o", str(settings)).exit_code == 0
    )
    assert run("config", "check", str(settings)).output.endswith("node settings, no errors\n")
    unknown = run("config", "generate", answers, "--node", "entry-99")
    assert unknown.exit_code == 2
    assert "entry-7" in unknown.output


def test_a_retried_change_that_fails_may_have_taken_effect(run, node, bundle_file):
    attempt_ids = []
    admin_changes = node.node.kernel.find(names.ADMIN, api.AdminApi)._context.changes

    async def refuse(proposal):
        attempt_ids.append(proposal.attempt_id)
        if len(attempt_ids) == 1:
            return proposals.Unsettled(reason="no answer", attempt_id=proposal.attempt_id)
        return proposals.NotWritten(reason="the store is down")

    admin_changes.accept = refuse
    result = run("config", "apply", bundle_file)
    assert result.exit_code == 1
    assert "an earlier try was not answered and may have taken effect" in result.output
    assert len(attempt_ids) == 2 and attempt_ids[0] == attempt_ids[1]


def test_a_failure_domain_goes_out_and_in(run, bundle_file):
    run("config", "apply", bundle_file)
    out = run("failure-domain", "out", "kz-a", "--reason", "power works")
    assert out.exit_code == 0
    assert "in force everywhere" in out.output
    assert json.loads(run("status", "--json").output)["failure_domains"][0]["in_service"] is False
    assert run("config", "apply", bundle_file).output == "nothing to change\n"
    assert run("failure-domain", "in", "kz-a", "--reason", "done").exit_code == 0
    assert run("failure-domain", "out", "kz-z", "--reason", "typing error").exit_code == 1
    assert run("failure-domain", "out", "kz-a").exit_code == 2


def test_waiting_fails_while_a_change_is_not_in_force(run, node, bundle_file, monkeypatch):
    monkeypatch.setattr(node.node.standing, "acknowledged", False)
    late = run("config", "apply", bundle_file, "--wait", "--wait-seconds", "0")
    assert late.exit_code == 1
    assert "accepted, but not yet known to be in force" in late.output


def test_status_and_audit(run, bundle_file):
    run("config", "apply", bundle_file, "--reason", "first")
    run("failure-domain", "out", "kz-a", "--reason", "power works")
    table = run("status").output
    assert "node-0  yes      0.0 s ago" in table
    assert "kz-a            kz      no" in table
    lines = run("audit").output
    assert "bootstrap created config/workspaces/arkhiv (through node-0)" in lines
    assert '  services: ["clearance"]' in lines
    assert "  reason: power works\n  in_service: true -> false" in lines
    assert "arkhiv" not in run("audit", "--key", "config/failure_domains/kz-a").output
    assert len(json.loads(run("audit", "--workspace", "arkhiv", "--json").output)["lines"]) == 1
    assert run("audit", "--since", "yesterday").exit_code == 1


def test_a_key_is_created_only_for_a_workspace_that_exists(run, bundle_file):
    run("config", "apply", bundle_file)
    made = run("key", "create", "arkhiv")
    assert made.exit_code == 0
    assert made.output.startswith("bp-")
    assert run("config", "apply", bundle_file).output == "nothing to change\n"
    assert run("key", "create", "nobody").exit_code == 1


def test_runs_and_quarantine_without_their_parts_fail(run):
    assert run("runs", "show", "w", "s", "k").exit_code == 1
    assert run("runs", "settle", "w", "s", "k", "--reason", "x").exit_code == 2
    assert run("quarantine", "list").exit_code == 1


def test_the_questionnaire_asks_until_the_answers_can_be_used(run, tmp_path):
    typed = [
        "Team", "bad region", "kz", "kz-a", "n",
        "licences", "plain", "pool", "", "99", "8", "", "", "", "GET", "catalogue", "/catalogue",
        "maybe", "yes", "", "n", "n",
        "web", "licences", "", "", "", "", "", "n", "n", "n",
    ]  # fmt: skip
    output = tmp_path / "answers.jsonc"
    asked = run("questionnaire", "-o", str(output), input="\n".join(typed) + "\n")
    assert "'bad region' cannot be used" in asked.output
    assert "'maybe' cannot be used; allowed: yes or no" in asked.output
    assert asked.exit_code == 2, asked.output
    assert "at most requests_at_once (16)" in asked.output
    typed[9] = "4"
    del typed[10]
    asked = run("questionnaire", "-o", str(output), input="\n".join(typed) + "\n")
    assert asked.exit_code == 0, asked.output
    assert run("questionnaire", "--answers", str(output)).exit_code == 0
    assert run("config", "generate", str(output)).exit_code == 0


def test_the_operators_page_lists_all_questions(run):
    page = pathlib.Path(__file__).parents[1] / "docs" / "operators" / "questionnaire.md"
    assert page.read_text().endswith(run("questionnaire", "--explain").output)


def test_every_command_explains_itself_with_an_example(run):
    def walk(command, path):
        if hasattr(command, "commands"):
            for name, inner in command.commands.items():
                yield from walk(inner, (*path, name))
        else:
            yield path

    for path in walk(main.main, ()):
        shown = run(*path, "--help")
        assert shown.exit_code == 0
        assert "Example: basilpost " + " ".join(path) in " ".join(shown.output.split()), path
