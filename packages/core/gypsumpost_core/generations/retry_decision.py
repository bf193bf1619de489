"""Decision on whether and when a failed attempt may be retried."""

import attrs


@attrs.frozen(kw_only=True)
class RetryDecision:
    """Decision on one retry or continuation.

    :param allowed: true if the attempt may be sent.
    :param at: monotonic time in seconds at which to send the attempt if allowed, or to decide again
        if not; ``None`` if the request has failed because the deadline comes first or, for a retry,
        because the budget is used up.
    """

    allowed: bool
    at: float | None
