"""Failure to send a request to a service."""

import attrs


@attrs.frozen(kw_only=True)
class SendFailure:
    """The reason why there is no response from a service.

    :param reason: a short description, part of the response to the caller.
    :param sent: true if the service may have run the request.
    :param opens_at: monotonic time in seconds at which an endpoint takes requests again, if all
        have asked for a pause or are at their limits.
    """

    reason: str
    sent: bool
    opens_at: float | None = None
