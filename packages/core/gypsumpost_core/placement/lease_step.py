"""The next step of a daemon towards acquiring or keeping the lease of its domain."""

import enum

import attrs

from gypsumpost_core.placement.lease_record import LeaseRecord


class LeaseAction(enum.Enum):
    """Kinds of steps.

    ``WAIT``: nothing until ``at``.
    ``READ``: read the record.
    ``GRANT``: create a lease in the store.
    ``ACQUIRE``: write ``record`` if the stored record still has ``revision`` and the lease is free,
    otherwise read the record.
    ``RENEW``: renew the store's lease.
    """

    WAIT = "wait"
    READ = "read"
    GRANT = "grant"
    ACQUIRE = "take"
    RENEW = "keep"


@attrs.frozen(kw_only=True)
class LeaseStep:
    """One store call, or a wait.

    :param action: kind of the step.
    :param at: for ``WAIT``: monotonic time in seconds at which to decide again.
    :param record: for ``ACQUIRE``: the record to write.
    :param revision: for ``ACQUIRE``: store revision of the record to replace, 0 if there is none.
    :param store_lease: for ``ACQUIRE`` and ``RENEW``: id of the store's lease.
    """

    action: LeaseAction
    at: float = 0.0
    record: LeaseRecord | None = None
    revision: int = 0
    store_lease: int = 0
