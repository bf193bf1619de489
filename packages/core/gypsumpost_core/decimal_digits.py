"""Whole numbers in decimal digits, as callers and endpoints write them, of any length."""


def parse_bounded(digits: bytes, maximum: int) -> int | None:
    """Return a whole number, at most ``maximum``; ``None`` if there is anything but digits.

    Python refuses to convert numbers of more than 4,300 digits, so long ones are not converted.

    :param digits: the digits.
    :param maximum: the greatest number that is returned.
    """
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b"0")
    if len(significant) > len(str(maximum)):
        return maximum
    return min(maximum, int(significant or b"0"))


def is_above(digits: bytes, other: bytes) -> bool:
    """Return true if a whole number is above another one.

    :param digits: digits of the number.
    :param other: digits of the other number.
    """
    first, second = digits.lstrip(b"0"), other.lstrip(b"0")
    return (len(first), first) > (len(second), second)
