"""Names that several entries of a configuration have."""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from gypsumpost_core.checks.finding import Finding


class Named(Protocol):
    """An entry with a name."""

    @property
    def name(self) -> str:
        """Name of the entry."""
        ...


def find_repeated(check: str, kind: str, entries: Iterable[Named]) -> list[Finding]:
    """Return a finding for each name that stands more than once.

    :param check: name of the check.
    :param kind: what the entries are, for example ``route``.
    :param entries: the entries.
    """
    counts = Counter(entry.name for entry in entries)
    return [
        Finding(check=check, subject=f"{kind} {name}", message=f"{count} entries have this name")
        for name, count in counts.items()
        if count > 1
    ]
