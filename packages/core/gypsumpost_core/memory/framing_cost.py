"""Tells bodies whose chunked framing costs far more than their content."""

FREE_BYTES = 64 << 10
"""The framing of small bodies does not matter."""

COSTLY_RATIO = 3
"""Chunks of one byte have five bytes of framing each, chunks of 100 bytes a fifteenth of that."""


def is_costly(received: int, content: int) -> bool:
    """Return true if the framing of a body is much longer than its content.

    :param received: bytes received, with the framing.
    :param content: bytes of content among them.
    """
    return received > FREE_BYTES and received - content > COSTLY_RATIO * content
