"""What a question of the questionnaire is, and how a field of the answers declares one."""

import dataclasses
from typing import Any

from basilpost.settings import checks

_QUESTION = "question"
_SECTION = "section"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Question:
    """One question.

    Attributes:
        text: The question.
        why: What the answer is used for, and how to find it.
        check: What the answer may be.
        only_for: Kind of service that it is asked for, empty for all.
    """

    text: str
    why: str
    check: checks.Check
    only_for: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Section:
    """Questions that are asked again for each thing of a kind.

    Attributes:
        title: What they are about, in the plural.
        one: One of them.
        holds: Record of the answers.
        at_least: Fewest that are needed.
        only_for: Kind of service that it is asked for, empty for all.
    """

    title: str
    one: str
    holds: type
    at_least: int = 0
    only_for: str = ""


def ask(
    text: str,
    why: str,
    check: checks.Check,
    *,
    default: Any = dataclasses.MISSING,
    only_for: str = "",
) -> Any:
    """Declares a field with its question."""
    question = Question(text=text, why=why, check=check, only_for=only_for)
    return dataclasses.field(default=default, metadata={_QUESTION: question})


def each(title: str, one: str, holds: type, *, at_least: int = 0, only_for: str = "") -> Any:
    """Declares a field that holds the answers about each thing of a kind."""
    section = Section(title=title, one=one, holds=holds, at_least=at_least, only_for=only_for)
    return dataclasses.field(default=(), metadata={_SECTION: section})


def question_of(field: "dataclasses.Field[Any]") -> Question | None:
    """Returns the question of a field, None if it holds a section."""
    found: Question | None = field.metadata.get(_QUESTION)
    return found


def section_of(field: "dataclasses.Field[Any]") -> Section | None:
    """Returns the section of a field, None if it holds one answer."""
    found: Section | None = field.metadata.get(_SECTION)
    return found


def applies(part: Question | Section, kind: str) -> bool:
    """Returns True if a question or section is asked for a kind of service."""
    return part.only_for in ("", kind)
