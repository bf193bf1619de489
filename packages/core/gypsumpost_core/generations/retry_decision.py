"""Whether and when a failed attempt may be tried again."""

import attrs


@attrs.frozen(kw_only=True)
class RetryDecision:
    """The decision about one retry or continuation.

    :param allowed: true if the attempt may be sent.
    :param at: process time to send it at if allowed, to ask again at if not; ``None`` if the
        deadline comes first and the request has failed.
    """

    allowed: bool
    at: float | None
