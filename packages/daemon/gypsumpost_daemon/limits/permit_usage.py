"""What the hosts have used of the limits that this host coordinates, for the log."""

from collections import Counter

import attrs


@attrs.define(kw_only=True)
class PermitUsage:
    """Counts the decisions of a group since the last line about it.

    :param granted: permits by endpoint and host.
    :param refused: refused requests by host.
    """

    granted: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    refused: Counter[str] = attrs.field(factory=Counter)

    def describe_granted(self) -> dict[str, dict[str, int]]:
        """Return the permits by endpoint, then by host."""
        described: dict[str, dict[str, int]] = {}
        for (key, host_id), count in sorted(self.granted.items()):
            described.setdefault(key, {})[host_id] = count
        return described

    def is_empty(self) -> bool:
        """Return true if nothing was decided."""
        return not self.granted and not self.refused
