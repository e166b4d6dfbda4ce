"""Tests of logging."""

import json

import structlog

from basilpost.core import log


def test_a_logged_exception_has_no_values_of_variables(capsys):
    log.configure(json_lines=True)
    secret = "bp-secret-key"
    try:
        {}["absent"] if secret else None
    except KeyError:
        structlog.get_logger().exception("failed", request="r1")
    structlog.reset_defaults()
    written = capsys.readouterr().err
    (line,) = [json.loads(text) for text in written.splitlines()]
    assert (line["event"], line["request"]) == ("failed", "r1")
    assert line["exception"][0]["exc_type"] == "KeyError"
    assert secret not in written.replace('secret = "bp-secret-key"', "")
