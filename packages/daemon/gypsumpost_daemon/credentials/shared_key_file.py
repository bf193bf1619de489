"""File with the deployment's shared key."""

from pathlib import Path

import attrs
import trio

from gypsumpost_core.key_ring import KeyRing

OVERLAP_SECONDS = 60.0
"""Seconds after a change for which the former key is accepted too."""

INSECURE_DEFAULT_KEY = b"gypsumpost"
"""Not secret; used between daemons without a key file, for trials on one machine."""


@attrs.define(kw_only=True)
class SharedKeyFile:
    """Reads the key and replaces it when the file has changed.

    :param path: the file; empty for ``INSECURE_DEFAULT_KEY``.
    """

    path: str
    ring: KeyRing = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.ring = KeyRing(current=read_key(self.path) if self.path else INSECURE_DEFAULT_KEY)

    def reload(self) -> None:
        """Switch to the key in the file and accept the former one for ``OVERLAP_SECONDS``.

        :raises OSError: if the file cannot be read; the old key remains in use.
        :raises ValueError: if the file contains no key; the old key remains in use.
        """
        now = trio.current_time()
        self.ring.replace(read_key(self.path), now, now + OVERLAP_SECONDS)


def read_key(path: str) -> bytes:
    """Return the key in a file.

    :param path: the file.
    :raises OSError: if it cannot be read.
    :raises ValueError: if it contains no key.
    """
    key = Path(path).read_bytes().strip()
    if not key:
        raise ValueError("the key file is empty")
    return key
