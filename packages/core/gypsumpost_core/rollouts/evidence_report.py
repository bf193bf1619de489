"""Evidence from one source, as hosts send it to each other."""

import attrs

from gypsumpost_core.rollouts.evidence_row import EvidenceRow


@attrs.frozen(kw_only=True)
class EvidenceReport:
    """Evidence of the last windows from a host, or from all hosts of a failure domain.

    :param source: id of the host or name of the failure domain.
    :param epoch: number of the source's start; a host that starts again counts from 0 under a
        higher epoch. A failure domain has the epoch 0.
    :param rows: counts since the start of each window.
    """

    source: str
    epoch: int
    rows: tuple[EvidenceRow, ...]
