"""Reads and checks an answers file of the questionnaire, and lists the questions."""

import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any

from basilpost.settings import answers, loader, questions


def load(path: str) -> answers.Answers:
    """Reads and checks an answers file.

    Raises:
        loader.SettingsError: With all errors of the file.
    """
    given = loader.load(path, answers.Answers)
    errors = check(given, file=path)
    if errors:
        raise loader.SettingsError(errors)
    return given


def check(given: answers.Answers, *, file: str) -> tuple[loader.SettingError, ...]:
    """Checks each answer on its own, then names and references between the answers."""
    field_errors = list(_check_record(given, "", file))
    return (*field_errors, *_check_consistency(given, file))


def _check_record(record: Any, prefix: str, file: str) -> Iterator[loader.SettingError]:
    kind = getattr(record, "kind", "")
    for field in dataclasses.fields(record):
        question, section = questions.question_of(field), questions.section_of(field)
        path = f"{prefix}{field.name}"
        value = getattr(record, field.name)
        if question is not None:
            yield from _check_answer(question, field, value, kind, path, file)
        elif section is not None:
            yield from _check_section(section, value, kind, path, file)


def _check_answer(
    question: questions.Question,
    field: "dataclasses.Field[Any]",
    value: Any,
    kind: str,
    path: str,
    file: str,
) -> Iterator[loader.SettingError]:
    if not questions.applies(question, kind):
        if value != field.default:
            yield loader.setting_error(file, path, repr(value), f"nothing for a {kind} service")
    elif not question.check.accepts(value):
        yield loader.setting_error(file, path, repr(value), question.check.allowed)


def _check_section(
    section: questions.Section, records: tuple[Any, ...], kind: str, path: str, file: str
) -> Iterator[loader.SettingError]:
    if not questions.applies(section, kind):
        if records:
            yield loader.setting_error(file, path, "answers", f"nothing for a {kind} service")
        return
    if len(records) < section.at_least:
        yield loader.setting_error(file, path, f"{len(records)}", f"at least {section.at_least}")
    for index, record in enumerate(records):
        yield from _check_record(record, f"{path}.{index}.", file)


def _check_consistency(given: answers.Answers, file: str) -> Iterator[loader.SettingError]:
    for name in ("failure_domains", "services", "workspaces", "nodes"):
        yield from _check_unique(getattr(given, name), name, file)
    yield from _check_references(given, file)
    for index, service in enumerate(given.services):
        yield from _check_service(service, f"services.{index}", file)
    if len(given.platform) > 1 or (given.nodes and not given.platform):
        yield loader.setting_error(
            file, "platform", str(len(given.platform)), "one platform, since there are nodes"
        )


def _check_references(given: answers.Answers, file: str) -> Iterator[loader.SettingError]:
    domains = {domain.name for domain in given.failure_domains}
    services = {service.name for service in given.services}
    for index, node in enumerate(given.nodes):
        if node.failure_domain not in domains:
            yield loader.setting_error(
                file,
                f"nodes.{index}.failure_domain",
                repr(node.failure_domain),
                _join_names(domains),
            )
    for index, workspace in enumerate(given.workspaces):
        for service in sorted(set(workspace.services) - services):
            yield loader.setting_error(
                file, f"workspaces.{index}.services", repr(service), _join_names(services)
            )


def _check_service(
    service: answers.Service, prefix: str, file: str
) -> Iterator[loader.SettingError]:
    cold, warm = service.cold_requests_at_once, service.requests_at_once
    if cold > warm:
        path = f"{prefix}.cold_requests_at_once"
        allowed = f"at most requests_at_once ({warm})"
        yield loader.setting_error(file, path, str(cold), allowed)
    seen: set[tuple[str, str]] = set()
    for index, call in enumerate(service.calls):
        if call.may_repeat and call.outcome_path:
            path = f"{prefix}.calls.{index}.outcome_path"
            allowed = "nothing for calls that may be repeated"
            yield loader.setting_error(file, path, repr(call.outcome_path), allowed)
        rule = (call.method, call.path)
        if rule in seen:
            allowed = "each method and path once"
            yield loader.setting_error(
                file, f"{prefix}.calls.{index}", f"{call.method} {call.path} again", allowed
            )
        seen.add(rule)


def _check_unique(records: tuple[Any, ...], path: str, file: str) -> Iterator[loader.SettingError]:
    first_by_name: dict[str, int] = {}
    for index, record in enumerate(records):
        first = first_by_name.setdefault(record.name, index)
        if first != index:
            yield loader.setting_error(
                file, f"{path}.{index}.name", repr(record.name), f"a name other than {path}.{first}"
            )


def _join_names(names: set[str]) -> str:
    return ", ".join(sorted(names)) or "one that is answered for"


def walk_questions(
    record_type: type = answers.Answers, *, path: str = ""
) -> Iterator[tuple[str, questions.Question]]:
    """Yields all questions with the key paths of their answers; `*` stands for a list index."""
    parts = (
        (field, questions.question_of(field), questions.section_of(field))
        for field in dataclasses.fields(record_type)
    )
    return itertools.chain.from_iterable(
        _walk_field(f"{path}{field.name}", question, section) for field, question, section in parts
    )


def _walk_field(
    path: str, question: questions.Question | None, section: questions.Section | None
) -> Iterator[tuple[str, questions.Question]]:
    if question is not None:
        yield path, question
    if section is not None:
        yield from walk_questions(section.record_type, path=f"{path}.*.")
