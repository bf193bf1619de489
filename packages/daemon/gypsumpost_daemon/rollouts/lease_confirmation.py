"""One confirmation that a decider held its lease."""

import attrs


@attrs.frozen(kw_only=True, order=True)
class LeaseConfirmation:
    """Identifies a confirmation; a higher one is newer.

    :param token: fencing token of the lease.
    :param number: number of the renewal.
    """

    token: int = 0
    number: int = 0


NEVER = LeaseConfirmation()
