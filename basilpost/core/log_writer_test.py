"""Tests that logging is bounded and never waits."""

import json
import os
import time

import pytest
import structlog

from basilpost.core import log, log_writer


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_all(reading):
    os.set_blocking(reading, False)
    pieces = []
    while True:
        try:
            piece = os.read(reading, 1 << 20)
        except BlockingIOError:
            return b"".join(pieces).decode().splitlines()
        pieces.append(piece)


def test_lines_come_out_whole_and_in_order(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for number in range(50):
        writer.write("k", f"line {number}", important=False)
    assert read_all(pipe[0]) == [f"line {number}" for number in range(50)]


def test_a_reader_that_stalls_costs_no_time_and_lines_are_counted(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    began = time.monotonic()
    for number in range(20_000):
        writer.write(f"kind {number}", "x" * 500, important=False)
    assert time.monotonic() - began < 5
    assert writer.dropped_by_kind.total() > 15_000


def test_a_line_that_was_cut_by_a_full_pipe_goes_on_where_it_stopped(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, important=False)
    found = []
    for _ in range(20):
        found += read_all(pipe[0])
        writer.flush()
    assert "".join(found) == "".join(sent)


def test_a_flood_of_one_kind_leaves_room_for_failures_and_others(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for _ in range(5000):
        writer.write("request_ended", "fine", important=False)
    writer.write("request_ended", "failed", important=True)
    writer.write("vm_gone", "gone", important=False)
    lines = read_all(pipe[0])
    assert lines.count("fine") <= 2 * log_writer.LINES_PER_SECOND
    assert {"failed", "gone"} <= set(lines)
    assert writer.dropped_by_kind["request_ended"] > 4000


def test_a_closed_pipe_is_no_failure():
    reading, writing = os.pipe()
    os.close(reading)
    writer = log_writer.LineWriter(descriptor=writing)
    writer.write("k", "line", important=True)
    os.close(writing)


def test_events_are_one_json_object_a_line_on_standard_output(pipe):
    log.configure_bounded(descriptor=pipe[1], level="info")
    structlog.get_logger().bind(node="n").info("request_ended", request="r", status=503)
    structlog.get_logger().debug("unseen")
    structlog.reset_defaults()
    (line,) = [json.loads(one) for one in read_all(pipe[0])]
    assert (line["event"], line["node"], line["request"]) == ("request_ended", "n", "r")
    assert line["timestamp"]
