"""Tests of the statuses that answers may have."""

from basilpost.core import answer_status


def test_each_status_is_of_the_kind_that_the_protocol_says():
    kinds_by_status = {
        status: (answer_status.is_interim(status), answer_status.is_final(status))
        for status in range(1000)
    }
    interim = {status for status, kinds in kinds_by_status.items() if kinds == (True, False)}
    final = {status for status, kinds in kinds_by_status.items() if kinds == (False, True)}
    assert interim == {100, *range(102, 200)}
    assert final == set(range(200, 600))
    assert (True, True) not in kinds_by_status.values()
