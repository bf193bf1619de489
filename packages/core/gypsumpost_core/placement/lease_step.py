"""Next call of a daemon to the store for the lease of its domain."""

import enum

import attrs

from gypsumpost_core.placement.lease_record import LeaseRecord


class LeaseAction(enum.Enum):
    """What a daemon does next.

    ``WAIT``: nothing until ``at``.
    ``READ``: read the record.
    ``GRANT``: create a lease of the store.
    ``TAKE``: write ``record`` if its revision is ``revision`` and the lease is free, else read.
    ``KEEP``: renew the store's lease.
    """

    WAIT = "wait"
    READ = "read"
    GRANT = "grant"
    TAKE = "take"
    KEEP = "keep"


@attrs.frozen(kw_only=True)
class LeaseStep:
    """One call, or a wait.

    :param action: what to do.
    :param at: for a wait: process time in seconds of the next decision.
    :param record: for a taking: the record to write.
    :param revision: for a taking: revision of the record that it replaces.
    :param store_lease: for a taking or renewal: id of the store's lease.
    """

    action: LeaseAction
    at: float = 0.0
    record: LeaseRecord | None = None
    revision: int = 0
    store_lease: int = 0
