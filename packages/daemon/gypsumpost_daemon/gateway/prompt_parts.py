"""Reads which parts of its prompt a request shares with other requests."""

import hashlib

PART_DIGEST_BYTES = 8
MAX_PARTS = 32
"""Parts that are read of a request; a caller can name parts without end."""


def read_shared_parts(value: bytes) -> tuple[bytes, ...]:
    """Return digests of the parts that other requests may share, in the order of the prompt.

    The last part belongs to the request itself. Parts without an id are left out: they cannot be
    recognised in another request, and endpoints judge for themselves what is malformed.

    :param value: the parts as ``ID:TOKENS`` with commas between them, empty for none.
    """
    entries = value.split(b",")[:-1][:MAX_PARTS]
    names = (entry.partition(b":")[0].strip().lower() for entry in entries)
    # The same part may be named twice; it counts once.
    return tuple(dict.fromkeys(digest_part(name) for name in names if name))


def digest_part(name: bytes) -> bytes:
    """Return the digest by which hosts refer to a part of a prompt.

    :param name: id of the part.
    """
    return hashlib.blake2b(name, digest_size=PART_DIGEST_BYTES).digest()
