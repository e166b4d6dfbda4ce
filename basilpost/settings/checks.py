"""Checks of single answers of the questionnaire, each with a text of what it allows."""

import abc
import dataclasses
import re
from typing import Any

from basilpost.settings import configuration

_ADDRESS = re.compile(r"[0-9A-Za-z.:-]{1,253}")
_URL = re.compile(r"https?://[^\s/]+(/\S*)?")


class Check(abc.ABC):
    """Decides whether an answer is valid."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Returns what is allowed, as a phrase for questions and errors."""

    @abc.abstractmethod
    def accepts(self, value: Any) -> bool:
        """Returns True if an answer, which has the right type, is valid."""


class Name(Check):
    """A valid name of a configuration object."""

    @property
    def allowed(self) -> str:
        """Returns the rule for names."""
        return "a name of letters, digits, dots and dashes"

    def accepts(self, value: Any) -> bool:
        """Returns True for a name."""
        return configuration.is_valid_name(value)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Text(Check):
    """Printable text of at least `shortest` characters; may be empty if `optional`."""

    optional: bool = False
    shortest: int = 1

    @property
    def allowed(self) -> str:
        """Returns the rule for text."""
        rule = f"at least {self.shortest} printable characters"
        return f"{rule}, or nothing" if self.optional else rule

    def accepts(self, value: Any) -> bool:
        """Returns True for such a text."""
        if not value:
            return self.optional
        return value.isprintable() and self.shortest <= len(value)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Between(Check):
    """A number from `low` to `high`, both included."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Returns the range."""
        return f"a number from {self.low:g} to {self.high:g}"

    def accepts(self, value: Any) -> bool:
        """Returns True for a number in the range."""
        return bool(self.low <= value <= self.high)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OneOf(Check):
    """One of the given words."""

    words: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Returns the words."""
        return " or ".join(self.words)

    def accepts(self, value: Any) -> bool:
        """Returns True for one of the words."""
        return value in self.words


class YesOrNo(Check):
    """Yes or no."""

    @property
    def allowed(self) -> str:
        """Returns the two answers."""
        return "yes or no"

    def accepts(self, value: Any) -> bool:
        """Returns True for a boolean."""
        return isinstance(value, bool)


class Names(Check):
    """A list of different names, which may be empty."""

    @property
    def allowed(self) -> str:
        """Returns the rule for the list."""
        return "different names, separated by commas"

    def accepts(self, value: Any) -> bool:
        """Returns True for such a list."""
        return len(set(value)) == len(value) and all(
            configuration.is_valid_name(name) for name in value
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Path(Check):
    """A path of a URL; if `keyed`, it contains `{key}` for the idempotency key, or is empty."""

    keyed: bool = False

    @property
    def allowed(self) -> str:
        """Returns the rule for paths."""
        return "nothing, or a path with {key} in it" if self.keyed else "a path that begins with /"

    def accepts(self, value: Any) -> bool:
        """Returns True for such a path."""
        if self.keyed:
            return not value or (value.startswith("/") and "{key}" in value)
        return bool(value.startswith("/"))


class Address(Check):
    """An IP number or host name."""

    @property
    def allowed(self) -> str:
        """Returns the rule for addresses."""
        return "an IP number or host name"

    def accepts(self, value: Any) -> bool:
        """Returns True for an address."""
        return _ADDRESS.fullmatch(value) is not None


class Url(Check):
    """A base URL."""

    @property
    def allowed(self) -> str:
        """Returns the rule for URLs."""
        return "a URL that begins with http:// or https://"

    def accepts(self, value: Any) -> bool:
        """Returns True for a URL."""
        return _URL.fullmatch(value) is not None


class OptionalDigest(Check):
    """A SHA-256 digest, which may be left out."""

    @property
    def allowed(self) -> str:
        """Returns the rule for digests."""
        return "64 hexadecimal digits, or nothing"

    def accepts(self, value: Any) -> bool:
        """Returns True for a digest or nothing."""
        return not value or configuration.is_valid_digest(value)
