"""The stored state of a non-idempotent call."""

import attrs

from gypsumpost_core.calls.claim_outcome import ClaimOutcome


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """A claim, and its outcome once there is one; an absent key means that nobody has claimed.

    :param owner: host that claimed the call.
    :param incarnation: incarnation of the owner's daemon.
    :param nonce: random name of this claim; it settles a claim whose answer was lost.
    :param deadline: Unix time in seconds after which the owner does not send the call.
    :param request_digest: digest of method, path and body; another request under the same key is
        refused.
    :param outcome: the outcome, ``None`` while the call runs.
    """

    owner: str
    incarnation: int
    nonce: str
    deadline: float
    request_digest: str
    outcome: ClaimOutcome | None = None
