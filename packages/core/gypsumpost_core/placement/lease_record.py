"""The stored record of a failure domain's orders."""

import attrs


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """The last holder of a lease; the record outlives it, so that the token only grows.

    :param holder: host that took the lease.
    :param fencing_token: number of the taking, which orders carry.
    :param nonce: random name of the taking; it settles a write whose answer was lost.
    """

    holder: str
    fencing_token: int
    nonce: str
