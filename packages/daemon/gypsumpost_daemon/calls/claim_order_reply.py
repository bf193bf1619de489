"""Result of a claim order."""

import attrs


@attrs.frozen(kw_only=True)
class ClaimOrderReply:
    """The store's reply to a claim order.

    :param applied: true if the condition held and the change was made.
    :param current: the stored value if the change was not made, ``None`` for an absent key.
    """

    applied: bool
    current: bytes | None = None
