"""How an allowance is shared among the daemons."""

from typing import Protocol

from gypsumpost_core.limits.share_amounts import ShareAmounts
from gypsumpost_core.registry import Registry


class ShareMode(Protocol):
    """Chosen by name through :data:`SHARE_MODES`."""

    def compute_fixed(self, limit: ShareAmounts, known_hosts: int) -> ShareAmounts | None:
        """Return a share that needs no coordinator, ``None`` to ask the coordinator.

        :param limit: the allowance.
        :param known_hosts: number of known hosts.
        """
        ...


SHARE_MODES: Registry[ShareMode] = Registry(behaviour="share-mode")


@SHARE_MODES.register("coordinated")
class CoordinatedShares:
    """Coordinators grant shares by demand."""

    def compute_fixed(self, limit: ShareAmounts, known_hosts: int) -> ShareAmounts | None:
        """Return no share."""
        return None


@SHARE_MODES.register("equal")
class EqualShares:
    """Each known host has the same part; the baseline of the experiment."""

    def compute_fixed(self, limit: ShareAmounts, known_hosts: int) -> ShareAmounts | None:
        """Return an equal part."""
        return limit.scale(1 / known_hosts).round_down()
