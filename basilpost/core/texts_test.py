"""Tests of the check of text that other programs wrote."""

import pytest

from basilpost.core import texts


@pytest.mark.parametrize(
    "text", ["", "kz-south-a", "Caja Municipal", "Soci\u00e9t\u00e9\u00a0X", "\U0001f33f"]
)
def test_ordinary_text_is_refused(text):
    assert texts.is_plain(text)


@pytest.mark.parametrize("text", ["a\r\nX: y", "\x00", "\x7f", "\x85", "\ud800", "a\udfffb", "\t"])
def test_text_that_breaks_headers_or_encoding_is_used(text):
    assert not texts.is_plain(text)
