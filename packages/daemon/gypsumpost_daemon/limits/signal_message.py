"""What endpoints have said about themselves, as daemons tell each other."""

import attrs

from gypsumpost_core.limits.request_limit import RequestLimit


@attrs.frozen(kw_only=True)
class SignalMessage:
    """Body of an ``ENDPOINT_SIGNALS`` message.

    :param limits: limits on requests that are in force, or have ended lately.
    :param leaving: names of endpoints that have said lately that they leave.
    """

    limits: tuple[RequestLimit, ...] = ()
    leaving: tuple[str, ...] = ()
