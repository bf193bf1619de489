"""State of a call under an issued key."""

import attrs

from gypsumpost_core.calls.claim_outcome import ClaimOutcome


@attrs.define(kw_only=True)
class IssuedCall:
    """State of a used key, kept in the issuer's memory.

    :param deadline: Unix time in seconds until which the state is kept.
    :param request_digest: digest of method, path and body.
    :param sent: true as soon as the first byte may have been sent.
    :param outcome: the outcome, ``None`` while the call runs.
    """

    deadline: float
    request_digest: str
    sent: bool = False
    outcome: ClaimOutcome | None = None
