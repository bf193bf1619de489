"""Failure of a call to the platform's store."""

import attrs


@attrs.frozen(kw_only=True)
class StoreFailure:
    """The reason why there is no valid reply from the store.

    :param reason: a short description.
    :param sent: true if the call may have taken effect, false if it certainly did not.
    """

    reason: str
    sent: bool
