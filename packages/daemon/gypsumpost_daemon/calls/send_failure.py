"""Failure of sending a request to a service."""

import attrs


@attrs.frozen(kw_only=True)
class SendFailure:
    """Why a service gave no answer.

    :param reason: a short description.
    :param sent: true if the service may have run the request.
    """

    reason: str
    sent: bool
