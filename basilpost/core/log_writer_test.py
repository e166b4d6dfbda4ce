"""Tests that logging is limited and never blocks."""

import asyncio
import json
import os
import threading
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


def test_lines_are_written_complete_and_in_order(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for number in range(50):
        writer.write("k", f"line {number}", important=False)
    assert read_all(pipe[0]) == [f"line {number}" for number in range(50)]


def test_a_stalled_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    started = time.monotonic()
    for number in range(20_000):
        writer.write(f"kind {number}", "x" * 500, important=False)
    assert time.monotonic() - started < 5
    assert writer.dropped_by_kind.total() > 15_000


async def test_lines_wait_in_the_buffer_until_another_one_is_logged(pipe):
    # Without a later line they were never written, and a kill of the process lost them.
    writer = log_writer.LineWriter(descriptor=pipe[1])
    writer.attach(asyncio.get_running_loop())
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, important=False)
    lines = []
    async with asyncio.timeout(5.0):
        while len("".join(lines)) < len("".join(sent)):
            lines += read_all(pipe[0])
            await asyncio.sleep(0.001)
    writer.detach()
    assert "".join(lines) == "".join(sent)


def test_the_number_of_dropped_lines_is_not_written_at_the_end(pipe):
    # It was written with a later line only.
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for _ in range(log_writer.MAX_LINES_PER_SECOND * 3):
        writer.write("k", "line", important=False)
    writer.close(timeout=1.0)
    last = json.loads(read_all(pipe[0])[-1])
    assert last["event"] == "log_lines_dropped"
    assert last["dropped"]["k"] >= log_writer.MAX_LINES_PER_SECOND


def test_a_line_cut_by_a_full_pipe_is_continued_later(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, important=False)
    lines = []
    for _ in range(20):
        lines += read_all(pipe[0])
        writer.flush()
    assert "".join(lines) == "".join(sent)


def test_lines_that_wait_for_the_reader_are_written_before_the_process_ends(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, important=False)
    closing = threading.Thread(target=writer.close, kwargs={"timeout": 5.0})
    closing.start()
    lines = []
    while closing.is_alive():
        lines += read_all(pipe[0])
    lines += read_all(pipe[0])
    assert "".join(lines) == "".join(sent)


def test_a_reader_that_takes_nothing_delays_the_end_for_a_bounded_time(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for number in range(300):
        writer.write(f"kind {number}", "x" * 1_000, important=False)
    began_at = time.monotonic()
    writer.close(timeout=0.2)
    assert 0.2 <= time.monotonic() - began_at < 2.0


def test_many_lines_of_one_kind_displace_neither_failures_nor_other_kinds(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for _ in range(5000):
        writer.write("request_ended", "fine", important=False)
    writer.write("request_ended", "failed", important=True)
    writer.write("vm_gone", "gone", important=False)
    lines = read_all(pipe[0])
    assert lines.count("fine") <= 2 * log_writer.MAX_LINES_PER_SECOND
    assert {"failed", "gone"} <= set(lines)
    assert writer.dropped_by_kind["request_ended"] > 4000


def test_a_closed_pipe_raises_no_error():
    reading, writing = os.pipe()
    os.close(reading)
    writer = log_writer.LineWriter(descriptor=writing)
    writer.write("k", "line", important=True)
    os.close(writing)


def test_each_event_is_one_json_object_on_a_line(pipe):
    log.configure_bounded(descriptor=pipe[1], level="info")
    structlog.get_logger().bind(node="n").info("request_ended", request="r", status=503)
    structlog.get_logger().debug("unseen")
    structlog.reset_defaults()
    (line,) = [json.loads(text) for text in read_all(pipe[0])]
    assert (line["event"], line["node"], line["request"]) == ("request_ended", "n", "r")
    assert line["timestamp"]
