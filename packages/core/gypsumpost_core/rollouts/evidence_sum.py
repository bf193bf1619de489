"""Evidence about the versions of one service, summed over hosts."""

from collections.abc import Callable

import attrs

from gypsumpost_core.rollouts.evidence_key import EvidenceKey
from gypsumpost_core.rollouts.evidence_row import EvidenceRow
from gypsumpost_core.rollouts.version_count import VersionCount


@attrs.frozen(kw_only=True)
class EvidenceSum:
    """Evidence about the versions of one service, summed over hosts.

    :param rows: the counts, at most one of each key.
    """

    rows: tuple[EvidenceRow, ...] = ()

    def count(self, matches: Callable[[EvidenceKey], bool]) -> VersionCount:
        """Return the sum of the rows that match.

        :param matches: true for a key to be counted.
        """
        total = VersionCount()
        for row in self.rows:
            if matches(row.key):
                total = total.add(row.count)
        return total

    def sum_routes(self, matches: Callable[[EvidenceKey], bool]) -> dict[str, VersionCount]:
        """Return the sum of the rows that match by route.

        :param matches: true for a key to be counted.
        """
        totals: dict[str, VersionCount] = {}
        for row in self.rows:
            if matches(row.key):
                total = totals.get(row.key.route, VersionCount())
                totals[row.key.route] = total.add(row.count)
        return totals
