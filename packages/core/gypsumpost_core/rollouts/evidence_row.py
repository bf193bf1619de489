"""A count of evidence and what it is about."""

import attrs

from gypsumpost_core.rollouts.evidence_key import EvidenceKey
from gypsumpost_core.rollouts.version_count import VersionCount


@attrs.frozen(kw_only=True)
class EvidenceRow:
    """A count of evidence and what it is about.

    :param key: what it is about.
    :param count: the count.
    """

    key: EvidenceKey
    count: VersionCount
