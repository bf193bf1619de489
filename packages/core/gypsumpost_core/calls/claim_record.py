"""The stored state of a non-idempotent call."""

import attrs

from gypsumpost_core.calls.claim_outcome import ClaimOutcome


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """A claim and, once known, its outcome; an absent key means that the call is not claimed.

    :param owner: host that claimed the call.
    :param incarnation: incarnation of the owner's daemon.
    :param nonce: random id of this claim; shows whose write succeeded if the store's reply was
        lost.
    :param deadline: Unix time in seconds after which the owner does not send the call.
    :param request_digest: digest of method, path and body; a different request under the same key
        is refused.
    :param outcome: the outcome, ``None`` while the call runs.
    """

    owner: str
    incarnation: int
    nonce: str
    deadline: float
    request_digest: str
    outcome: ClaimOutcome | None = None
