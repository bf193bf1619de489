"""The files of one check."""

import attrs


@attrs.frozen(kw_only=True)
class CheckedFiles:
    """Contents of the files.

    :param content: the file to check.
    :param in_force: the version in force, ``None`` if it is not given.
    :param other_list: the other one of the two lists, ``None`` if it is not given.
    :param memory_bytes: memory of the smallest host, ``None`` if it is not given.
    :param adapter: module of the platform's adapter, empty if it is not given.
    """

    content: bytes
    in_force: bytes | None = None
    other_list: bytes | None = None
    memory_bytes: int | None = None
    adapter: str = ""
