"""Estimates the memory that the head of a request takes."""

FIELD_BYTES = 400
"""Objects for the name and value of a field, in the parser, the request and what is sent on."""


def estimate_head(fields: int) -> int:
    """Return how many bytes a parsed head takes.

    A head of 16 KB may have thousands of fields of a few bytes, whose objects are far longer.

    :param fields: number of its fields.
    """
    return fields * FIELD_BYTES
