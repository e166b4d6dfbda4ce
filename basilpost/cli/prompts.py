"""Prompts for the answers of the questionnaire in a terminal."""

import dataclasses
from typing import Any

import click

from basilpost.settings import answers, questions

_YES = ("y", "yes", "true")
_NO = ("n", "no", "false")


def ask_all() -> answers.Answers:
    """Prompts for all answers; explains each question and repeats it until the answer is valid."""
    click.echo("Every question shows its default in brackets; Enter takes it.")
    given: answers.Answers = _ask_record(answers.Answers, kind="")
    return given


def _ask_record(record_type: type, *, kind: str) -> Any:
    given: dict[str, Any] = {}
    for field in dataclasses.fields(record_type):
        question, section = questions.question_of(field), questions.section_of(field)
        kind = given.get("kind", kind)
        if question is not None and questions.applies(question, kind):
            given[field.name] = _ask_question(field, question)
        elif section is not None and questions.applies(section, kind):
            given[field.name] = _ask_section(section)
    return record_type(**given)


def _ask_section(section: questions.Section) -> tuple[Any, ...]:
    click.secho(f"\n{section.title.capitalize()}", bold=True)
    records: list[Any] = []
    while len(records) < section.at_least or click.confirm(
        f"Add {'another' if records else 'a'} {section.item_name}?", default=False
    ):
        records.append(_ask_record(section.record_type, kind=""))
    return tuple(records)


def _ask_question(field: "dataclasses.Field[Any]", question: questions.Question) -> Any:
    click.echo(f"\n{question.text}\n  {question.why}")
    default = None if field.default is dataclasses.MISSING else _format_default(field.default)
    while True:
        text = click.prompt("  ", default=default, show_default=bool(default), prompt_suffix="> ")
        value = _convert(text.strip(), field.type)
        if value is not None and question.check.accepts(value):
            return value
        click.echo(f"  {text!r} cannot be used; allowed: {question.check.allowed}")


def _format_default(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return ", ".join(value) if isinstance(value, tuple) else str(value)


def _convert(text: str, kind: Any) -> Any:
    """Converts typed text to the type of a field; None if it cannot be converted."""
    try:
        if kind is bool:
            return {**dict.fromkeys(_YES, True), **dict.fromkeys(_NO, False)}.get(text.lower())
        if kind in (int, float):
            return kind(text)
    except ValueError:
        return None
    if kind is str:
        return text
    return tuple(part.strip() for part in text.split(",") if part.strip())
