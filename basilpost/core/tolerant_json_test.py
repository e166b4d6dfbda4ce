"""Tests of reading JSON with odd values."""

import json
import math

import hypothesis
import pytest
from hypothesis import strategies

from basilpost.core import tolerant_json

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(min_value=-(10**17), max_value=10**18)
    | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
)


def deep(depth, inner="1"):
    return "[" * depth + inner + "]" * depth


@hypothesis.given(_VALUES)
def test_an_ordinary_value_is_changed(value):
    text = json.dumps(value)
    assert tolerant_json.loads(text.encode()) == value
    assert tolerant_json.loads(f'{{"odd": {deep(2_000)}, "sound": {text}}}')["sound"] == value


@pytest.mark.parametrize("digits", [20, 401, 4_300, 6_000])
def test_a_large_number_spoils_what_stands_beside_it(digits):
    large = "9" * digits
    read = tolerant_json.loads(
        f'{{"a": {large}, "b": -{large}, "c": 12, "d": 9223372036854775807}}'
    )
    assert read == {"a": math.inf, "b": -math.inf, "c": 12, "d": 2**63 - 1}


def test_deep_nesting_spoils_what_stands_beside_it():
    read = tolerant_json.loads(f'[{deep(100_000)}, "]]", {{"a": {deep(50_000, "{}")}}}, 7]')
    assert read[1] == "]]" and read[3] == 7
    for _ in range(tolerant_json.MAX_DEPTH - 1):
        (read[0],) = read[0]
    assert read[0] is None


@pytest.mark.parametrize(
    "text", ["", "[", "[" * 100_000, "]" * 100_000, deep(100_000) + "]", '{"a"}', '"\\', "\ud800["]
)
def test_text_that_is_not_json_raises_another_error_than_value_error(text):
    with pytest.raises(ValueError):
        tolerant_json.loads(text)


@pytest.mark.parametrize("raw", [b"\xff", b"\xff\xfe[", b"\x00"])
def test_bytes_that_are_not_text_raise_another_error_than_value_error(raw):
    with pytest.raises(ValueError):
        tolerant_json.loads(raw)
