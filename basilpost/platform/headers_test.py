"""Tests of headers on their way in and out."""

import tornado.httputil

from basilpost.platform import headers
from basilpost.routing import header_dialect

DIALECT = headers.PlatformDialect()


def of(**values):
    return tornado.httputil.HTTPHeaders(
        {name.replace("_", "-"): value for name, value in values.items()}
    )


def forwarding(**changes):
    values = {
        "vm_id": "i-1",
        "workspace": "hule930",
        "budget_seconds": 1.5,
        "priority": 2,
        "last_event_id": "",
    }
    return header_dialect.ForwardingInfo(**(values | changes))


def test_a_call_is_read():
    found = DIALECT.parse_request(
        of(
            X_Attempt_Id="9c41",
            X_Credential="key",
            X_Deadline_Ms="8000",
            X_Model="m",
            X_Token_Usage="1460,80",
            Last_Event_Id="12",
        )
    )
    assert found == header_dialect.RequestInfo(
        request_id="9c41",
        key="key",
        budget_seconds=8.0,
        model="m",
        prompt_tokens=1460,
        max_answer_tokens=80,
        last_event_id="12",
    )


def test_numbers_that_cannot_be_read_count_as_missing():
    found = DIALECT.parse_request(of(X_Deadline_Ms="soon", X_Token_Usage="many"))
    assert (found.budget_seconds, found.prompt_tokens, found.max_answer_tokens) == (None, 0, 0)


def test_the_key_is_not_handed_on_and_a_callers_own_claims_are_replaced():
    sent = DIALECT.request_headers(
        of(
            X_Credential="key",
            X_Tenant="someone-else",
            X_Expect_Runner="i-9",
            X_Request_Priority="0",
            X_Deadline_Ms="9000",
            X_Prompt_Prefix="5c1e07a2:800",
        ),
        forwarding(),
    )
    assert "X-Credential" not in sent
    assert sent["X-Tenant"] == "hule930"
    assert sent["X-Expect-Runner"] == "i-1"
    assert sent["X-Request-Priority"] == "2"
    assert sent["X-Deadline-Ms"] == "1500"
    assert sent["X-Prompt-Prefix"] == "5c1e07a2:800"


def test_a_claimed_workspace_is_dropped_where_there_is_none():
    assert "X-Tenant" not in DIALECT.request_headers(of(X_Tenant="me"), forwarding(workspace=""))


def test_headers_of_one_connection_are_not_handed_on():
    sent = DIALECT.request_headers(
        of(
            Connection="close, X-Hop",
            X_Hop="1",
            Keep_Alive="timeout=5",
            Transfer_Encoding="chunked",
            Content_Length="3",
            Accept="a",
        ),
        forwarding(),
    )
    assert {"Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding", "Content-Length"}.isdisjoint(
        dict(sent.get_all())
    )
    assert sent["Accept"] == "a"


def test_repeated_headers_stay_repeated():
    sent = tornado.httputil.HTTPHeaders()
    sent.add("X-Many", "1")
    sent.add("X-Many", "2")
    assert DIALECT.request_headers(sent, forwarding()).get_list("X-Many") == ["1", "2"]


def test_a_runner_that_has_not_run_a_request_is_believed():
    assert DIALECT.parse_response(503, of(X_Not_Executed="1")).not_run
    assert DIALECT.parse_response(421, of()).not_run
    assert not DIALECT.parse_response(503, of()).not_run
    assert not DIALECT.parse_response(500, of(X_Runner_Signature="s")).not_run
