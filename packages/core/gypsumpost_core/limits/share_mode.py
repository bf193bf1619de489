"""Policies for dividing an allowance among the daemons."""

from typing import Protocol

from gypsumpost_core.limits.share_amounts import ShareAmounts
from gypsumpost_core.registry import Registry


class ShareMode(Protocol):
    """Policy for dividing an allowance, selected by name from :data:`SHARE_MODES`."""

    def compute_fixed(self, limit: ShareAmounts, known_hosts: int) -> ShareAmounts | None:
        """Return a fixed share, ``None`` if the coordinator grants shares.

        :param limit: the allowance.
        :param known_hosts: number of known hosts.
        """
        ...


SHARE_MODES: Registry[ShareMode] = Registry(behaviour="share-mode")


@SHARE_MODES.register("coordinated")
class CoordinatedShares:
    """Coordinators grant shares according to demand."""

    def compute_fixed(self, limit: ShareAmounts, known_hosts: int) -> ShareAmounts | None:
        """Return ``None``: shares come from the coordinator."""
        return None


@SHARE_MODES.register("equal")
class EqualShares:
    """Each known host gets an equal share; the baseline in the experiment."""

    def compute_fixed(self, limit: ShareAmounts, known_hosts: int) -> ShareAmounts | None:
        """Return the limit divided by the number of known hosts, rounded down."""
        return limit.scale(1 / known_hosts).round_down()
