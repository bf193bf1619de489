"""Claims that this host has stored lately, so that it can store them again after a restore."""

from collections import OrderedDict

import attrs

from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind

MEMORY_SECONDS = 30.0
"""A copy from which the store comes back is some seconds old."""

MAX_MEMORY_BYTES = 64 * 1024 * 1024
"""The oldest claims are forgotten beyond this size."""


@attrs.frozen(kw_only=True)
class KnownClaim:
    """The last state of a claim of this host.

    :param order: creates the claim with its outcome, or removes it.
    :param recorded_at: monotonic time in seconds.
    """

    order: ClaimOrder
    recorded_at: float


class ClaimMemory:
    """The last state of each claim that this host has stored or removed lately."""

    def __init__(self) -> None:
        self._claims: OrderedDict[bytes, KnownClaim] = OrderedDict()
        self._size = 0
        self._contact_at: float | None = None

    def find_order(self, key: bytes) -> ClaimOrder | None:
        """Return the order that stores the known state of a claim, ``None`` if it is not known.

        :param key: key of the claim in the store.
        """
        known = self._claims.get(key)
        return None if known is None else known.order

    def list_orders(self) -> list[ClaimOrder]:
        """Return the orders that store the known state again."""
        return [known.order for known in self._claims.values()]

    def record_created(self, order: ClaimOrder, now: float) -> None:
        """Record that the store holds a claim.

        :param order: the order that created it.
        :param now: monotonic time in seconds.
        """
        self._put(order, now)

    def record_submitted(self, order: ClaimOrder, now: float) -> None:
        """Record a change of a known claim before the store has confirmed it.

        Only the owner changes a claim, so the new state is final also if the answer is lost.

        :param order: the order; a ``CREATE`` counts only once it is confirmed.
        :param now: monotonic time in seconds.
        """
        known = self._claims.get(order.key)
        if known is None or known.order.value != order.expected:
            return
        if order.kind is ClaimOrderKind.REPLACE:
            create = attrs.evolve(order, kind=ClaimOrderKind.CREATE, expected=b"")
            self._put(create, now)
        elif order.kind is ClaimOrderKind.REMOVE:
            self._put(order, now)

    def record_contact(self, now: float) -> None:
        """Forget the claims that any copy holds which the store can come back from.

        The age counts from the contact before, as the store may have been away since then.

        :param now: monotonic time in seconds at which the store has answered.
        """
        before, self._contact_at = self._contact_at, now
        while before is not None and self._claims:
            oldest = next(iter(self._claims.values()))
            if oldest.recorded_at > before - MEMORY_SECONDS:
                return
            self._remove(oldest.order.key)

    def _put(self, order: ClaimOrder, now: float) -> None:
        self._remove(order.key)
        self._claims[order.key] = KnownClaim(order=order, recorded_at=now)
        self._size += order.count_bytes()
        while self._size > MAX_MEMORY_BYTES:
            self._remove(next(iter(self._claims)))

    def _remove(self, key: bytes) -> None:
        known = self._claims.pop(key, None)
        if known is not None:
            self._size -= known.order.count_bytes()
