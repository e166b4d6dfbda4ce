"""Tests of answers files of the questionnaire and of the files generated from them."""

import dataclasses
import importlib.resources
import json

import pyjson5
import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilpost.core import data
from basilpost.settings import answers, bundle, generation, loader, questionnaire

EXAMPLES = importlib.resources.files("basilpost.settings") / "examples"
NAMES = ["arkhiv-kuqyq-labs", "caja-municipal"]


def load_example(name):
    return questionnaire.load(str(EXAMPLES / f"{name}.jsonc"))


def errors_of(text):
    with pytest.raises(loader.SettingsError) as caught:
        given = loader.parse(text, answers.Answers, file="f")
        errors = questionnaire.check(given, file="f")
        if errors:
            raise loader.SettingsError(errors)
    return {error.path: error.allowed for error in caught.value.errors}


@pytest.mark.parametrize("name", NAMES)
def test_generated_configuration(name, snapshot):
    tree = generation.build_configuration(load_example(name))
    assert generation.check_configuration(tree, file=name) == ()
    assert generation.render(tree, title=name) == snapshot


@pytest.mark.parametrize("name", NAMES)
def test_generated_node_settings(name, snapshot):
    given_answers = load_example(name)
    trees = [
        generation.build_node_settings(given_answers, node.name) for node in given_answers.nodes
    ]
    assert [generation.check_node_settings(tree, file=name) for tree in trees] == [()] * len(trees)
    assert generation.render(trees[0], title=name) == snapshot


@pytest.mark.parametrize("name", NAMES)
def test_generated_text_is_deterministic_and_reads_back(name):
    tree = generation.build_configuration(load_example(name))
    text = generation.render(tree, title=name)
    assert text == generation.render(generation.build_configuration(load_example(name)), title=name)
    assert pyjson5.decode(text) == generation.strip_sources(tree)
    read = loader.parse(text, bundle.Bundle, file=name)
    assert bundle.check(read, file=name) == ()


def test_calls_that_must_not_repeat_are_generated_as_not_idempotent():
    filings = load_example("arkhiv-kuqyq-labs")
    routes = generation.strip_sources(generation.build_configuration(filings))["services"][
        "licences"
    ]["routes"]
    by_path = {route["path_prefix"]: route for route in routes}
    assert not by_path["/filings"]["idempotent"]
    assert by_path["/filings"]["outcome_path"] == "/outcomes/{key}"
    assert by_path["/catalogue"]["idempotent"]
    ledger = generation.strip_sources(
        generation.build_configuration(load_example("caja-municipal"))
    )
    by_path = {
        route["path_prefix"]: route for route in ledger["services"]["deposit-ledger"]["routes"]
    }
    assert (by_path["/renewals"]["idempotent"], by_path["/balances"]["idempotent"]) == (False, True)
    assert by_path["/renewals"]["outcome_path"] == ""


def test_all_errors_of_an_answers_file_are_reported_together():
    found = errors_of(
        json.dumps(
            {
                "team": "t",
                "region": "r r",
                "failure_domains": [{"name": "a"}, {"name": "a"}],
                "services": [
                    {"name": "s", "kind": "plain", "pool": "p", "model": "m"},
                    {"name": "m", "pool": "p", "requests_at_once": 1, "model": ""},
                ],
                "workspaces": [{"name": "w", "services": ["x"], "priority": 12}],
                "nodes": [{"name": "n", "failure_domain": "z", "address": "10.0.0.1"}],
            }
        )
    )
    assert found.keys() == {
        "region",
        "failure_domains.1.name",
        "services.0.model",
        "services.0.calls",
        "services.1.model",
        "services.1.model_version",
        "services.1.cold_requests_at_once",
        "workspaces.0.services",
        "workspaces.0.priority",
        "nodes.0.failure_domain",
        "platform",
    }


def test_wrong_types_and_unknown_keys_are_reported_with_their_paths():
    found = errors_of('{"team": 3, "region": "r", "services": [{"name": "s", "colour": 1}]}')
    assert found["team"] == "a string"
    assert "services.0.colour" in found
    assert found["services.0.pool"] == "this key is required"


def test_every_question_has_an_explanation():
    for path, question in questionnaire.walk_questions():
        assert question.text.endswith("?"), path
        assert question.why.endswith("."), path
        assert question.check.allowed, path


CALLS = st.builds(
    answers.Call,
    path=st.sampled_from(["/a", "/b"]),
    may_repeat=st.booleans(),
    outcome_path=st.sampled_from(["", "/o/{key}"]),
)
SERVICES = st.builds(
    answers.Service,
    name=st.just("s"),
    kind=st.just("plain"),
    pool=st.just("p"),
    requests_at_once=st.integers(0, 3),
    cold_requests_at_once=st.integers(0, 3),
    calls=st.lists(CALLS, max_size=3).map(tuple),
) | st.builds(
    answers.Service,
    name=st.just("s"),
    pool=st.just("p"),
    model=st.sampled_from(["", "m"]),
    model_version=st.just("1"),
    vms_per_group=st.integers(0, 70),
)


@given(SERVICES)
def test_valid_answers_generate_valid_configuration(service):
    team_answers = answers.Answers(
        team="t",
        region="r",
        failure_domains=(answers.FailureDomain(name="a"),),
        services=(service,),
        workspaces=(answers.Workspace(name="w", services=(service.name,)),),
    )
    if not questionnaire.check(team_answers, file="f"):
        tree = generation.build_configuration(team_answers)
        assert generation.check_configuration(tree, file="f") == ()


def test_answers_cover_every_field_of_a_service():
    generated = {field for field, _ in generation._MODEL_FIELDS} | {"routes", "max_groups"}
    fields = {field.name for field in dataclasses.fields(data.Service)}
    assert generated == fields
