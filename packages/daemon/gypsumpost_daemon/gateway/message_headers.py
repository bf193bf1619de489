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
    given = list(headers)
    own = {
        names.remaining_ms,
        names.last_event_id,
        b"authorization",
        *names.reserved,
    }
    # A caller could otherwise remove these headers by listing them in ``connection``.
    kept = {names.request_id, b"host", *names.identity}
    dropped = (HOP_BY_HOP | own | _list_named(given)) - kept
    return tuple((name, value) for name, value in given if name not in dropped)


def select_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the endpoint's headers that are passed on to the caller.

    :param headers: headers of the response in lower case.
    """
    given = list(headers)
    dropped = NOT_RETURNED | _list_named(given)
    return [(name, value) for name, value in given if name not in dropped]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, ``None`` if it is absent.

    :param headers: headers in lower case.
    :param name: the name in lower case.
    """
    return next((value for found, value in headers if found == name), None)


def _list_named(headers: list[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }
