"""The store's reply to an attempt to create a claim."""

import attrs

from gypsumpost_core.calls.claim_record import ClaimRecord


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Result of one attempt to create a claim.

    :param created: true if this attempt wrote the claim.
    :param stored: the record in the store, ``None`` if the store did not reply.
    :param sent: if the store did not reply: true if the claim may have been written.
    """

    created: bool
    stored: ClaimRecord | None
    sent: bool = True
