"""Tests that logging is limited and never blocks."""

import asyncio
import json
import os
import threading
import time

import pytest
import structlog

from basilpost.core import log, log_writer

ORDINARY_LINES = log_writer.MAX_LINES_PER_SECOND[log_writer.Priority.ORDINARY]


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_all(reading):
    return read_text(reading).splitlines()


def read_text(reading):
    os.set_blocking(reading, False)
    pieces = []
    while True:
        try:
            piece = os.read(reading, 1 << 20)
        except BlockingIOError:
            return b"".join(pieces).decode()
        pieces.append(piece)


def test_lines_are_written_complete_and_in_order(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for number in range(50):
        writer.write("k", f"line {number}", priority=log_writer.Priority.ORDINARY)
    assert read_all(pipe[0]) == [f"line {number}" for number in range(50)]


def test_a_stalled_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    started = time.monotonic()
    for number in range(20_000):
        writer.write(f"kind {number}", "x" * 500, priority=log_writer.Priority.ORDINARY)
    assert time.monotonic() - started < 5
    assert writer.dropped_by_kind.total() > 15_000


async def test_lines_wait_in_the_buffer_until_another_one_is_logged(pipe):
    # Without a later line they were never written, and a kill of the process lost them.
    writer = log_writer.LineWriter(descriptor=pipe[1])
    writer.attach(asyncio.get_running_loop())
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, priority=log_writer.Priority.ORDINARY)
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
    for _ in range(ORDINARY_LINES * 3):
        writer.write("k", "line", priority=log_writer.Priority.ORDINARY)
    writer.close(timeout=1.0)
    last = json.loads(read_all(pipe[0])[-1])
    assert last["event"] == "log_lines_dropped"
    assert last["dropped"]["k"] >= ORDINARY_LINES


def test_a_process_that_shares_the_pipe_makes_the_log_block(pipe):
    # The blocking mode belongs to the pipe's open file, which inheriting processes share.
    writer = log_writer.LineWriter(descriptor=pipe[1])
    os.set_blocking(pipe[1], True)

    def write_more_than_the_pipe_holds():
        for number in range(300):
            writer.write(f"kind {number}", "x" * 1_000, priority=log_writer.Priority.ORDINARY)

    writing = threading.Thread(target=write_more_than_the_pipe_holds, daemon=True)
    writing.start()
    writing.join(timeout=5.0)
    is_blocked = writing.is_alive()
    while writing.is_alive():
        read_all(pipe[0])
    assert not is_blocked


def test_the_log_changes_the_blocking_mode_of_a_shared_pipe(pipe):
    # Standard error may be the same pipe; writing a traceback to it failed with BlockingIOError.
    log_writer.LineWriter(descriptor=pipe[1])
    assert os.get_blocking(pipe[1])


def test_a_line_cut_by_a_full_pipe_is_continued_later(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, priority=log_writer.Priority.ORDINARY)
    lines = []
    for _ in range(20):
        lines += read_all(pipe[0])
        writer.flush()
    assert "".join(lines) == "".join(sent)


def test_lines_that_wait_for_the_reader_are_written_before_the_process_ends(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    sent = [f"{number:06}" + "x" * 994 for number in range(300)]
    for number, line in enumerate(sent):
        writer.write(f"kind {number}", line, priority=log_writer.Priority.ORDINARY)
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
        writer.write(f"kind {number}", "x" * 1_000, priority=log_writer.Priority.ORDINARY)
    began_at = time.monotonic()
    writer.close(timeout=0.2)
    assert 0.2 <= time.monotonic() - began_at < 2.0


def test_many_lines_of_one_kind_displace_neither_failures_nor_other_kinds(pipe):
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for _ in range(5000):
        writer.write("request_ended", "fine", priority=log_writer.Priority.ORDINARY)
    writer.write("request_ended", "failed", priority=log_writer.Priority.FAILURE)
    writer.write("vm_gone", "gone", priority=log_writer.Priority.ORDINARY)
    lines = read_all(pipe[0])
    assert lines.count("fine") <= 2 * ORDINARY_LINES
    assert {"failed", "gone"} <= set(lines)
    assert writer.dropped_by_kind["request_ended"] > 4000


def read_and_flush(reading, writer):
    """Returns all lines, also those that wait in the buffer."""
    text = ""
    while writer.buffered_bytes:
        text += read_text(reading)
        writer.flush()
    return (text + read_text(reading)).splitlines()


def ends_of(lines, outcome):
    return [line for line in map(json.loads, lines) if line.get("outcome") == outcome]


@pytest.mark.parametrize(
    ("outcome", "level"),
    [("broken_off", "warning"), ("cut_by_stop", "warning"), ("caller_left", "info")],
)
def test_lines_of_lost_requests_are_dropped_with_those_of_whole_ones(pipe, outcome, level):
    # Lines of broken-off requests had the priority of those of whole ones, as their status is 0.
    writer = log.configure_bounded(descriptor=pipe[1], level="info")
    logger = structlog.get_logger()
    for number in range(500):
        logger.info("request_ended", request=f"whole-{number}", outcome="streamed", status=200)
        logger.info("vm_changed", vm=f"vm-{number}")
    getattr(logger, level)("request_ended", request="lost", outcome=outcome, status=0)
    structlog.reset_defaults()
    lines = read_and_flush(pipe[0], writer)
    assert len(ends_of(lines, outcome)) == 1


def test_ordinary_lines_take_the_buffer_of_failures(pipe):
    # While the reader stalled, ordinary lines left no room for those of broken-off requests.
    writer = log_writer.LineWriter(descriptor=pipe[1])
    for number in range(3_000):
        writer.write(f"kind {number}", "x" * 500, priority=log_writer.Priority.ORDINARY)
    for number in range(500):
        writer.write("request_ended", f"whole {number}", priority=log_writer.Priority.TRACE)
        writer.write("request_ended", f"lost {number}", priority=log_writer.Priority.FAILURE)
    lines = read_and_flush(pipe[0], writer)
    assert len([line for line in lines if line.startswith("lost")]) == 500


def test_a_closed_pipe_raises_no_error():
    reading, writing = os.pipe()
    os.close(reading)
    writer = log_writer.LineWriter(descriptor=writing)
    writer.write("k", "line", priority=log_writer.Priority.FAILURE)
    os.close(writing)


def test_lines_written_without_a_reader_are_lost_uncounted(tmp_path):
    # They were thrown away; the reader of a named pipe may be restarted.
    path = tmp_path / "log"
    os.mkfifo(path)
    reading = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writer = log_writer.LineWriter(descriptor=os.open(path, os.O_WRONLY))
    # More than the pipe holds, so that the reader ends within a line.
    for number in range(20):
        writer.write(f"kind {number}", "x" * 9_999, priority=log_writer.Priority.ORDINARY)
    os.close(reading)
    writer.write("request_ended", "without a reader", priority=log_writer.Priority.FAILURE)
    reading = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writer.write("request_ended", "with the next reader", priority=log_writer.Priority.FAILURE)
    lines = read_and_flush(reading, writer)
    assert lines[-2:] == ["without a reader", "with the next reader"]
    # All but the one that was cut are whole.
    assert sorted(map(len, lines[:-2]))[1:] == [9_999] * 19
    assert writer.dropped_by_kind == {log_writer.CUT_LINE: 1}
    os.close(reading)


def test_a_reader_that_has_gone_does_not_delay_the_end():
    reading, writing = os.pipe()
    writer = log_writer.LineWriter(descriptor=writing)
    os.close(reading)
    writer.write("k", "line", priority=log_writer.Priority.FAILURE)
    began_at = time.monotonic()
    writer.close(timeout=5.0)
    assert time.monotonic() - began_at < 2.0
    os.close(writing)


def test_each_event_is_one_json_object_on_a_line(pipe):
    log.configure_bounded(descriptor=pipe[1], level="info")
    structlog.get_logger().bind(node="n").info("request_ended", request="r", status=503)
    structlog.get_logger().debug("unseen")
    structlog.reset_defaults()
    (line,) = [json.loads(text) for text in read_all(pipe[0])]
    assert (line["event"], line["node"], line["request"]) == ("request_ended", "n", "r")
    assert line["timestamp"]
