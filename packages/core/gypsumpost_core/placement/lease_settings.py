"""Settings of the lease of a failure domain's orders."""

import attrs


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """Settings of the lease of a failure domain's orders.

    :param ttl: time to live of the lease in the store, in whole seconds.
    :param margin: seconds by which the holder's own deadline precedes the expiry in the store, in
        case the store's clock runs faster.
    :param renew_after: seconds between renewals.
    :param retry_after: seconds before a retry of a store call that got no response.
    :param read_after: seconds between reads of a lease that another host holds.
    :param stagger: seconds by which a candidate delays its attempt to acquire the lease for each
        candidate ahead of it in rendezvous order.
    :param candidates: number of daemons of a domain that read the lease and may acquire it; bounds
        the store calls of the domain. When one is lost, membership moves the next one up.
    """

    ttl: int = 10
    margin: float = 1.0
    renew_after: float = 3.0
    retry_after: float = 1.0
    read_after: float = 3.0
    stagger: float = 2.0
    candidates: int = 3
