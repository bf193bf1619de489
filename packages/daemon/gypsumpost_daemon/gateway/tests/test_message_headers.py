"""Tests of the selection of headers that are passed on."""

from gypsumpost_daemon.gateway.header_names import HeaderNames
from gypsumpost_daemon.gateway.message_headers import (
    select_request_headers,
    select_response_headers,
)

NAMES = HeaderNames(
    request_id=b"request-id",
    remaining_ms=b"remaining",
    last_event_id=b"last-event-id",
    event_id_field=b"id",
    seal=b"seal",
    workspace=b"workspace",
    expected_endpoint=b"expected",
    endpoint_id=b"endpoint",
    not_run=b"not-run",
    leaving=b"leaving",
    retry_after=b"retry-after",
    load=b"load",
    request_limit=b"limit",
    priority=b"rank",
    token_counts=b"counts",
    prompt_parts=b"parts",
    copy_target=b"copy",
    resume_from=b"from",
    pass_through=(b"model",),
    reserved=(b"workspace", b"copy", b"from"),
)


def test_reserved_headers_are_dropped():
    """Guards against callers that set headers reserved for this host."""
    headers = [(b"copy", b"1.2.3.4:5"), (b"from", b"x"), (b"authorization", b"k"), (b"own", b"1")]
    assert select_request_headers(headers, NAMES) == ((b"own", b"1"),)


def test_callers_cannot_remove_headers():
    """Guards against a Connection header that removes the request id or the model."""
    headers = [(b"connection", b"request-id, model, own"), (b"request-id", b"r"), (b"model", b"m")]
    headers.append((b"own", b"1"))
    kept = select_request_headers(headers, NAMES)
    assert kept == ((b"request-id", b"r"), (b"model", b"m"))


def test_framing_of_an_endpoint_is_not_passed_on():
    """Guards against two content lengths in one response."""
    headers = [(b"content-length", b"4"), (b"transfer-encoding", b"chunked"), (b"seal", b"s")]
    assert select_response_headers(headers) == [(b"seal", b"s")]
