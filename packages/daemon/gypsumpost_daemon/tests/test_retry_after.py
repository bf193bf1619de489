"""Tests of the header by which an endpoint asks for a pause."""

import pytest

from gypsumpost_daemon.http.retry_after import MAX_PAUSE_SECONDS, parse_retry_after


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"0", 0.0),
        (b"1e9", MAX_PAUSE_SECONDS),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"Sat, 05 Dec 2026 02:00:00 GMT", None),
        (b"\xff", None),
        (b"", None),
    ],
)
def test_a_pause_is_a_bounded_number_of_seconds(value, seconds):
    """Guards against endpoints that are closed for good, or not, by a malformed header."""
    assert parse_retry_after(value) == seconds
