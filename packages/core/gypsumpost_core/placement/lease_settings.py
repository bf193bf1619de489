"""Settings of the lease of a failure domain's orders."""

import attrs


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """Settings of the lease of a failure domain's orders.

    :param ttl: whole seconds for which the store keeps the lease without a renewal.
    :param margin: seconds by which the holder's own deadline is earlier, for a store whose clock
        runs faster.
    :param renew_after: seconds between two renewals.
    :param retry_after: seconds after a call without an answer.
    :param read_after: seconds between two looks at a held lease.
    :param stagger: seconds that each daemon leaves to the one before it in rendezvous order.
    :param candidates: daemons that look at the lease; it bounds the store calls of a domain.
        Membership replaces lost ones.
    """

    ttl: int = 10
    margin: float = 1.0
    renew_after: float = 3.0
    retry_after: float = 1.0
    read_after: float = 3.0
    stagger: float = 2.0
    candidates: int = 3
