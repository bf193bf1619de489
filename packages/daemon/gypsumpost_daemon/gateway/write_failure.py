"""Why the store did not make a change."""

import enum

import attrs

from gypsumpost_core.gateway.store_era import StoreEra


class WriteFailureKind(enum.Enum):
    """What a caller may conclude about a change that was not confirmed.

    ``UNKNOWN``: it may have been made, or may be made seconds later if its condition still holds.
    ``REFUSED``: it was not made, and never will be.
    ``CONFLICT``: it was not made, because a key has another revision than expected.
    ``LEASE_ENDED``: it was not made, because the lease does not exist any more.
    """

    UNKNOWN = "unknown"
    REFUSED = "refused"
    CONFLICT = "conflict"
    LEASE_ENDED = "lease ended"


@attrs.frozen(kw_only=True)
class WriteFailure:
    """A change that was not confirmed.

    :param kind: what is known about it.
    :param reason: a short description.
    :param era: era of the store, ``None`` if there was no answer or it names none.
    """

    kind: WriteFailureKind
    reason: str
    era: StoreEra | None = None
