"""Tests of asking a service's instances for an outcome."""

import pytest
import tornado.httpserver
import tornado.netutil
import tornado.web

from basilpost.core import data
from basilpost.gateway import outcome_lookup
from basilpost.members import fakes
from basilpost.runs import buckets, lookup


class OutcomeHandler(tornado.web.RequestHandler):
    def initialize(self, answer):
        self.answer = answer

    def get(self, key):
        assert key == "k/7"
        self.write(self.answer)


def instance(number, answer):
    sockets = tornado.netutil.bind_sockets(0, address="127.0.0.1")
    application = tornado.web.Application([(r"/outcomes/(.*)", OutcomeHandler, {"answer": answer})])
    server = tornado.httpserver.HTTPServer(application)
    server.add_sockets(sockets)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    return data.Group(
        group_id=f"g{number}", service="licences", generation=1, state=data.GroupState.READY,
        fabric_domain="f", failure_domain="a",
        members=(data.Member(vm_id=f"v{number}", address=address, rank=0),),
    )  # fmt: skip


def record(outcome_path="/outcomes/{key}"):
    return buckets.Record(
        workspace="w", service="licences", key="k/7", digest="d", request_id="r",
        state=buckets.RunState.UNKNOWN, attempt_id="a", node_id="n", outcome_path=outcome_path,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("answers", "kind"),
    [
        ([{"ran": False}, {"ran": True}], lookup.Ran),
        ([{"ran": False}, {"ran": False}], lookup.NeverRan),
        ([{"ran": False}, {"unclear": 1}], lookup.LookupUnavailable),
        ([], lookup.LookupUnavailable),
    ],
)
async def test_one_instance_that_ran_it_decides_and_all_must_say_never_ran(answers, kind):
    groups = tuple(instance(number, answer) for number, answer in enumerate(answers))
    lookup_ = outcome_lookup.InstanceLookup(directory=fakes.FakeDirectory(groups=groups))
    assert isinstance(await lookup_.look_up(record(), timeout=2.0), kind)


async def test_a_service_without_an_outcome_path_is_not_asked():
    groups = (instance(0, {"ran": True}),)
    lookup_ = outcome_lookup.InstanceLookup(directory=fakes.FakeDirectory(groups=groups))
    assert isinstance(await lookup_.look_up(record(""), timeout=2.0), lookup.LookupUnavailable)
