"""The stored record of a failure domain's order lease."""

import attrs


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """The last holder of a lease.

    The record is kept after the lease expires, so that the fencing token only ever increases.

    :param holder: id of the host that acquired the lease.
    :param fencing_token: increases by one with each acquisition; sent with every order.
    :param nonce: random id of the acquisition; shows after a lost response whether the write was
        applied.
    """

    holder: str
    fencing_token: int
    nonce: str
