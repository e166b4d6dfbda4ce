"""Questions of the questionnaire, declared as metadata of dataclass fields."""

import dataclasses
from typing import Any

from basilpost.settings import checks

_QUESTION = "question"
_SECTION = "section"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Question:
    """A question that one field answers.

    Attributes:
        text: The question.
        why: What the answer is used for, and how to find it.
        check: Which answers are valid.
        only_for: Kind of service that it is asked for, empty for all.
    """

    text: str
    why: str
    check: checks.Check
    only_for: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Section:
    """Questions that are repeated for each item of a list, such as each service.

    Attributes:
        title: Name of the items, in the plural.
        item_name: Name of one item.
        record_type: Record of the answers about one item.
        at_least: Minimum number of items.
        only_for: Kind of service that it is asked for, empty for all.
    """

    title: str
    item_name: str
    record_type: type
    at_least: int = 0
    only_for: str = ""


def answer_field(
    text: str,
    why: str,
    check: checks.Check,
    *,
    default: Any = dataclasses.MISSING,
    only_for: str = "",
) -> Any:
    """Returns a dataclass field with a question; it is required unless `default` is given."""
    question = Question(text=text, why=why, check=check, only_for=only_for)
    return dataclasses.field(default=default, metadata={_QUESTION: question})


def section_field(
    title: str, item_name: str, record_type: type, *, at_least: int = 0, only_for: str = ""
) -> Any:
    """Returns a dataclass field with a tuple of records, one for each item of a section."""
    section = Section(
        title=title,
        item_name=item_name,
        record_type=record_type,
        at_least=at_least,
        only_for=only_for,
    )
    return dataclasses.field(default=(), metadata={_SECTION: section})


def question_of(field: "dataclasses.Field[Any]") -> Question | None:
    """Returns the question of a field, None if the field is a section."""
    question: Question | None = field.metadata.get(_QUESTION)
    return question


def section_of(field: "dataclasses.Field[Any]") -> Section | None:
    """Returns the section of a field, None if the field is one answer."""
    section: Section | None = field.metadata.get(_SECTION)
    return section


def applies(part: Question | Section, kind: str) -> bool:
    """Returns True if a question or section is asked for a kind of service."""
    return part.only_for in ("", kind)
