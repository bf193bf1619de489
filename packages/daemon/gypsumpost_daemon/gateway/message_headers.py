"""Selects the headers that are passed on between callers and endpoints."""

from collections.abc import Iterable

from gypsumpost_daemon.gateway.forwarded_request import Headers
from gypsumpost_daemon.gateway.header_names import HeaderNames

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
NOT_RETURNED = HOP_BY_HOP | {b"date"}


def select_request_headers(headers: Iterable[tuple[bytes, bytes]], names: HeaderNames) -> Headers:
    """Return the caller's headers that are passed on to endpoints.

    :param headers: headers of the request in lower case.
    :param names: names of the platform's headers.
    """
    received = list(headers)
    consumed = {
        names.remaining_ms,
        names.last_event_id,
        b"authorization",
        *names.reserved,
    }
    # A caller could otherwise remove these headers by listing them in ``connection``.
    protected = {names.request_id, b"host", *names.pass_through}
    dropped = (HOP_BY_HOP | consumed | _list_connection_headers(received)) - protected
    return tuple((name, value) for name, value in received if name not in dropped)


def select_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the endpoint's headers that are passed on to the caller.

    :param headers: headers of the response in lower case.
    """
    received = list(headers)
    dropped = NOT_RETURNED | _list_connection_headers(received)
    return [(name, value) for name, value in received if name not in dropped]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, ``None`` if it is absent.

    :param headers: headers in lower case.
    :param name: the name in lower case.
    """
    return next((value for found, value in headers if found == name), None)


def find_content_type(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the content type without its parameters, empty if there is none.

    :param headers: headers in lower case.
    """
    value = find_header(headers, b"content-type") or b""
    return value.partition(b";")[0].strip().lower()


def _list_connection_headers(headers: list[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        entry.strip().lower()
        for name, value in headers
        if name == b"connection"
        for entry in value.split(b",")
    }
