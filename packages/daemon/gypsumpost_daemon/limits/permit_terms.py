"""How a request may wait for a permit."""

import attrs

LAST_PRIORITY = 100
"""Reports, health checks and copies of streams go behind callers' requests."""

RESUMPTION_PRIORITY = -1
"""A stream that was interrupted goes before new requests."""


@attrs.frozen(kw_only=True)
class PermitTerms:
    """Rank and patience of a request that needs a permit; by default it does not wait.

    :param priority: lower values go first.
    :param queue_until: monotonic time in seconds until which it may wait behind others.
    :param deadline: monotonic time in seconds until which it may wait if no other one waits.
    """

    priority: int = LAST_PRIORITY
    queue_until: float = 0.0
    deadline: float = 0.0


AT_ONCE = PermitTerms()
