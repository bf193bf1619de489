"""A simulated attempt by an owner to run a call."""

import attrs

from gypsumpost_core.calls.claim import Claim
from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.calls.claim_codec import encode_record
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind


@attrs.define(kw_only=True, eq=False)
class ClaimAttempt:
    """One request of a caller, handled by one owner.

    :param number: position among all attempts, in the order in which they begin.
    :param key: the call's key.
    :param claim: the claim, whose decisions are under test.
    :param phase: ``claiming``, ``ready``, ``sent`` or ``ended``.
    :param answer: run state that the caller received, ``None`` without an answer.
    """

    number: int
    key: bytes
    claim: Claim
    phase: str = "claiming"
    answer: RunState | None = None

    @property
    def record(self) -> ClaimRecord:
        return self.claim.record

    def create_claim_order(self) -> ClaimOrder:
        value = encode_record(self.record)
        return ClaimOrder(kind=ClaimOrderKind.CREATE, key=self.key, value=value)

    def create_removal_order(self) -> ClaimOrder:
        expected = encode_record(self.record)
        return ClaimOrder(kind=ClaimOrderKind.REMOVE, key=self.key, expected=expected)

    def create_outcome_order(self, record: ClaimRecord) -> ClaimOrder:
        return ClaimOrder(
            kind=ClaimOrderKind.REPLACE,
            key=self.key,
            expected=encode_record(self.record),
            value=encode_record(record),
        )
