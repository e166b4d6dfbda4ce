"""Tests of explaining a request from a few log lines."""

import json

from basilpost.admin import explaining


def line(seconds, node, event, **fields):
    stamp = f"2026-12-04T00:00:{seconds:09.6f}Z"
    return json.dumps({"timestamp": stamp, "node": node, "event": event, **fields})


def explain_logs(*files):
    return explaining.explain("r1", [lambda lines=lines: iter(lines) for lines in files])


PLACED = line(10, "n1", "request_placed", request="r1", target="large--7@1", vm="i-1", sends=0)


def test_lines_of_several_nodes_are_ordered_with_related_state_changes():
    explanation = explain_logs(
        [
            PLACED,
            line(
                11,
                "n1",
                "request_ended",
                request="r1",
                target="large--7@1",
                outcome="streamed",
                status=200,
                ms=900,
                sends=1,
            ),
            line(10.5, "n1", "request_ended", request="other", outcome="busy"),
        ],
        [line(9, "n2", "pool_order", order="open", vm="i-1", group="large--7", result="accepted")],
    )
    assert [one.event for one in explanation.lines] == [
        "pool_order",
        "request_placed",
        "request_ended",
    ]
    assert "passed on whole" in explanation.verdict


def test_a_silent_group_member_is_named_as_the_cause():
    explanation = explain_logs(
        [
            PLACED,
            line(10.6, "n1", "still_group_probed", group="large--7", members=3, silent=["i-3"]),
            line(
                11,
                "n1",
                "attempt_failed",
                request="r1",
                target="large--7@1",
                result="Lost",
                reason="closed",
                again=False,
            ),
            line(
                11,
                "n1",
                "request_ended",
                request="r1",
                target="large--7@1",
                outcome="broken_off",
                status=0,
                ms=1000,
                sends=1,
            ),
        ]
    )
    assert "i-3 of its group did not answer" in explanation.verdict
    assert "may have run 1 times" in explanation.verdict


def test_a_refused_request_is_said_not_to_have_run():
    explanation = explain_logs(
        [
            line(
                10,
                "n1",
                "request_ended",
                request="r1",
                target="",
                outcome="busy",
                status=503,
                reason="all 6 targets are full",
                ms=50,
                sends=0,
                rejections=0,
            )
        ]
    )
    assert "full" in explanation.verdict and "not run" in explanation.verdict


def test_changes_logged_by_many_nodes_are_shown_once():
    gone = {"vm": "i-1", "revision": 5}
    explanation = explain_logs(
        [PLACED, line(10.2, "n1", "vm_gone", **gone)], [line(10.1, "n2", "vm_gone", **gone)]
    )
    assert [one.node for one in explanation.lines if one.event == "vm_gone"] == ["n2"]
    assert "no line of its end" in explanation.verdict


def test_malformed_lines_are_counted_and_prefixes_ignored():
    explanation = explain_logs(["", "no json", "{", '{"event": "x"}', "12.5 n1 " + PLACED])
    assert explanation.malformed == 3
    assert len(explanation.lines) == 1


def test_a_request_without_log_lines_is_reported_as_such():
    assert explain_logs([line(1, "n", "vm_gone", vm="i")]).verdict == "no line of request r1"
