"""What the store answered to an attempt to claim."""

import attrs

from gypsumpost_core.calls.claim_record import ClaimRecord


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Result of one attempt to create a claim.

    :param created: true if this attempt wrote the claim.
    :param stored: the record that the store holds, ``None`` if the store gave no answer.
    :param sent: without an answer: true if the claim may have been written.
    """

    created: bool
    stored: ClaimRecord | None
    sent: bool = True
