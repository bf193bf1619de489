"""Compression of large values in messages between hosts."""

import zlib
from functools import lru_cache

MIN_BYTES = 4096
"""Shorter values are sent as they are."""

MAX_BYTES = 8 * 1024 * 1024
"""Longest value, as long as the longest answer of the store."""

LEVEL = 1
"""The fastest one; a configuration of many routes takes a tenth of its length with each."""

CACHED_VALUES = 2
"""The configuration in force and the one before, which each host of a domain may ask for."""


@lru_cache(maxsize=CACHED_VALUES)
def compress_value(value: bytes) -> bytes:
    """Return a compressed value.

    :param value: the value.
    """
    return zlib.compress(value, LEVEL)


def decompress_value(data: bytes) -> bytes:
    """Return the value that was compressed.

    :param data: the compressed value.
    :raises ValueError: if it is malformed, incomplete or longer than ``MAX_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError(f"a compressed value is incomplete or longer than {MAX_BYTES} bytes")
    return value
