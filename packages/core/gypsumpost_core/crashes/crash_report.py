"""Report of an endpoint that crashed while it had a request."""

import attrs

from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.gateway.endpoint_start import EndpointStart


@attrs.frozen(kw_only=True)
class CrashReport:
    """A request and the endpoint process that crashed before it had written for a while.

    :param suspect: the request.
    :param process: the endpoint process.
    :param failure_domain: failure domain of the endpoint.
    :param age_seconds: time since the crash; hosts have no clock in common.
    """

    suspect: CrashSuspect
    process: EndpointStart
    failure_domain: str
    age_seconds: float = 0.0
