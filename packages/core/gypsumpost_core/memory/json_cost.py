"""Estimates the memory that a JSON body takes once it is parsed."""

ELEMENT_BYTES = 80
"""An empty list or object with its place in a list; numbers and short texts take less."""

SEPARATORS = (b",", b":", b"[", b"{")


def estimate_parsed(body: bytes) -> int:
    """Return how many bytes the values of a JSON text take at most, without the text itself.

    A list of empty lists takes thirty times its text. Separators inside strings count too, which is
    little for ordinary text.

    :param body: the text.
    """
    return ELEMENT_BYTES * sum(body.count(separator) for separator in SEPARATORS)
