"""Tests of the headers of requests and answers in both directions."""

import pytest
import tornado.httputil

from basilpost.platform import headers
from basilpost.routing import header_dialect

DIALECT = headers.PlatformDialect()


def make_headers(**values):
    return tornado.httputil.HTTPHeaders(
        {name.replace("_", "-"): value for name, value in values.items()}
    )


def make_forwarding(**changes):
    values = {
        "vm_id": "i-1",
        "workspace": "hule930",
        "budget_seconds": 1.5,
        "priority": 2,
        "last_event_id": "",
    }
    return header_dialect.ForwardingInfo(**(values | changes))


def test_the_headers_of_a_request_are_parsed():
    info = DIALECT.parse_request(
        make_headers(
            X_Attempt_Id="9c41",
            X_Credential="key",
            X_Deadline_Ms="8000",
            X_Model="m",
            X_Token_Usage="1460,80",
            Last_Event_Id="12",
            X_Prompt_Prefix="5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
        )
    )
    assert info == header_dialect.RequestInfo(
        request_id="9c41",
        key="key",
        budget_seconds=8.0,
        model="m",
        prompt_tokens=1460,
        max_answer_tokens=80,
        last_event_id="12",
        prompt_parts=("5c1e07a2", "91bd3f06", "e4402b7d"),
    )


def test_a_list_of_prompt_parts_is_bounded():
    listed = ",".join(f"{number:x}{'0' * 100}:5" for number in range(100))
    parts = DIALECT.parse_request(make_headers(X_Prompt_Prefix=listed)).prompt_parts
    assert len(parts) == headers.MAX_PROMPT_PARTS + 1
    assert {len(part) for part in parts} == {headers.MAX_PART_ID_LENGTH}
    assert DIALECT.parse_request(make_headers(X_Prompt_Prefix=",,:")).prompt_parts == ()


def test_numbers_that_cannot_be_parsed_count_as_missing():
    info = DIALECT.parse_request(make_headers(X_Deadline_Ms="soon", X_Token_Usage="many"))
    assert (info.budget_seconds, info.prompt_tokens, info.max_answer_tokens) == (None, 0, 0)


def test_the_api_key_is_withheld_and_headers_that_the_node_sets_are_replaced():
    sent = DIALECT.request_headers(
        make_headers(
            X_Credential="key",
            X_Tenant="someone-else",
            X_Expect_Runner="i-9",
            X_Request_Priority="0",
            X_Deadline_Ms="9000",
            X_Prompt_Prefix="5c1e07a2:800",
        ),
        make_forwarding(),
    )
    assert "X-Credential" not in sent
    assert sent["X-Tenant"] == "hule930"
    assert sent["X-Expect-Runner"] == "i-1"
    assert sent["X-Request-Priority"] == "2"
    assert sent["X-Deadline-Ms"] == "1500"
    assert sent["X-Prompt-Prefix"] == "5c1e07a2:800"


def test_a_callers_workspace_header_is_dropped_if_the_node_knows_no_workspace():
    assert "X-Tenant" not in DIALECT.request_headers(
        make_headers(X_Tenant="me"), make_forwarding(workspace="")
    )


def test_hop_by_hop_headers_are_not_passed_on():
    sent = DIALECT.request_headers(
        make_headers(
            Connection="close, X-Hop",
            X_Hop="1",
            Keep_Alive="timeout=5",
            Transfer_Encoding="chunked",
            Content_Length="3",
            Accept="a",
        ),
        make_forwarding(),
    )
    assert {"Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding", "Content-Length"}.isdisjoint(
        dict(sent.get_all())
    )
    assert sent["Accept"] == "a"


def test_a_repeated_header_keeps_all_its_values():
    sent = tornado.httputil.HTTPHeaders()
    sent.add("X-Many", "1")
    sent.add("X-Many", "2")
    assert DIALECT.request_headers(sent, make_forwarding()).get_list("X-Many") == ["1", "2"]


def test_an_answer_means_not_run_only_by_its_header_or_status_421():
    assert DIALECT.parse_response(503, make_headers(X_Not_Executed="1")).not_run
    assert DIALECT.parse_response(421, make_headers()).not_run
    assert not DIALECT.parse_response(503, make_headers()).not_run
    assert not DIALECT.parse_response(500, make_headers(X_Runner_Signature="s")).not_run


def test_the_limit_that_a_runner_names_is_read():
    def limit(text):
        return DIALECT.parse_response(200, make_headers(Server_Limit=text)).limit_per_second

    assert [limit("2.7"), limit("0"), limit("40")] == [2.7, 0.0, 40.0]
    assert {limit(text) for text in ("", "soon", "nan", "inf", "-1")} == {None}
    assert DIALECT.parse_response(200, make_headers()).limit_per_second is None


def test_the_pause_that_a_rejecting_runner_asks_for_is_read():
    def read(text, status=503):
        return DIALECT.parse_response(status, make_headers(Retry_After=text))

    assert [read(text).pause_seconds for text in ("3", "0.5", "0", "1e9")] == [3.0, 0.5, 0.0, 1e9]
    bad = ("soon", "nan", "inf", "-1", "Wed, 21 Oct 2026 07:28:00 GMT")
    assert {read(text).pause_seconds for text in bad} == {None}
    assert [read(text).bad_pause for text in bad] == list(bad)
    assert len(read("x" * 1000).bad_pause) == 64
    assert read("3", status=429).pause_seconds is None
    assert (read("").pause_seconds, read("").bad_pause) == (None, "")


def test_a_runner_that_leaves_says_so():
    def leaving(text):
        return DIALECT.parse_response(200, make_headers(Server_Leaving=text)).leaving

    assert leaving("1")
    assert not any(leaving(text) for text in ("", "0", "yes"))


@pytest.mark.parametrize(
    ("text", "tokens"), [("120", 120), ("", 0), ("x", 0), ("-5", 0), ("1e400", 0), ("nan", 0)]
)
def test_an_estimate_of_the_answer_that_is_no_number_counts_as_none(text, tokens):
    sent = tornado.httputil.HTTPHeaders({"X-Length-Hint": text})
    assert headers.PlatformDialect().parse_request(sent).expected_answer_tokens == tokens
