"""Tests of numbers in decimal digits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumpost_core.decimal_digits import is_above, parse_bounded

LONG = b"9" * 5000


@pytest.mark.parametrize(
    ("digits", "number"),
    [(b"0", 0), (b"000", 0), (b"7", 7), (b"0" * 5000 + b"7", 7), (b"100", 100), (b"101", 100)]
    + [(b"9" * 20, 100), (LONG, 100), (b"", None), (b"-1", None), (b"1.5", None), (b"\xb2", None)],
)
def test_long_numbers_are_bounded(digits, number):
    """Guards against an error, or a number without bound, for digits that a caller has sent."""
    assert parse_bounded(digits, 100) == number


@given(st.integers(0, 10**30), st.integers(0, 10**30), st.integers(0, 3))
def test_numbers_are_compared_by_value(first, second, zeros):
    """Guards against ids that are compared as texts."""
    padded = b"0" * zeros + b"%d" % first
    assert is_above(padded, b"%d" % second) == (first > second)


def test_long_numbers_are_compared():
    """Guards against an error for an id of more digits than Python converts."""
    assert is_above(LONG, b"1") and not is_above(b"1", LONG) and not is_above(LONG, LONG)
