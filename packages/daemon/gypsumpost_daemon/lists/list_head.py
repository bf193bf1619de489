"""The head record of the lists in the store."""

import attrs


@attrs.frozen(kw_only=True)
class ListHead:
    """The value of ``lists/head``; each edit replaces it by compare-and-swap.

    :param revision: the current revision.
    :param nonce: nonce of the edit that produced it.
    :param author: name of the operator.
    :param time: Unix time in seconds of the edit.
    """

    revision: int
    nonce: str
    author: str
    time: float
