"""What a host tells its peers of roll-outs."""

import attrs

from gypsumpost_core.rollouts.evidence_row import EvidenceRow
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_daemon.rollouts.lease_confirmation import NEVER, LeaseConfirmation

NEVER_MS = 0xFFFFFFFF
"""Age of the confirmation if there was none."""


@attrs.frozen(kw_only=True)
class RolloutReport:
    """Records and evidence of a host, or the records it knows and the evidence of its domain.

    :param records: the newest known record of each service.
    :param confirmation: the newest known confirmation that the decider held its lease.
    :param confirmed_age_ms: milliseconds since then.
    :param epoch: number of the start of the source of the evidence.
    :param evidence: counts of the last windows.
    """

    records: tuple[RolloutRecord, ...] = ()
    confirmation: LeaseConfirmation = NEVER
    confirmed_age_ms: int = NEVER_MS
    epoch: int = 0
    evidence: tuple[EvidenceRow, ...] = ()


NO_REPORT = RolloutReport()
