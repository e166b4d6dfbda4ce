"""Tests of background tasks."""

import asyncio

import pytest
import structlog.testing

from basilpost.core import tasks

pytestmark = pytest.mark.looptime


async def test_a_task_that_is_to_run_on_ends_with_its_first_error():
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) < 4:
            raise OverflowError("a value that another program wrote")

    with structlog.testing.capture_logs() as lines:
        task_set = tasks.TaskSet()
        await task_set.keep_running(run, name="follow")
    assert runs == [0, 1, 2, 3]
    failed = [(line["event"], line["task"]) for line in lines]
    assert failed == [("task_failed", "follow")] * 3


async def test_a_task_that_fails_again_and_again_is_not_ended_by_close():
    async def run():
        raise ValueError("odd")

    task_set = tasks.TaskSet()
    task = task_set.keep_running(run, name="follow")
    await asyncio.sleep(5.0)
    await task_set.close()
    assert task.cancelled()
