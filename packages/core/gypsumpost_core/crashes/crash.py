"""The loss of one endpoint process."""

import attrs

from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.gateway.endpoint_start import EndpointStart


@attrs.define(kw_only=True, eq=False)
class Crash:
    """The loss of an endpoint process, with the requests that may have caused it.

    :param process: the endpoint process.
    :param failure_domain: failure domain of the endpoint.
    :param at: monotonic time in seconds.
    :param suspects: the requests that it was reading or had just begun to answer; empty if it is
        not known to have crashed.
    """

    process: EndpointStart
    failure_domain: str
    at: float
    suspects: set[CrashSuspect] = attrs.field(factory=set)

    def list_keys(self) -> set[CrashKey]:
        """Return the possible causes that the suspects contain."""
        return {key for suspect in self.suspects for key in suspect.keys}

    def list_containing(self, key: CrashKey) -> list[CrashSuspect]:
        """Return the suspects that contain a possible cause.

        :param key: the possible cause.
        """
        return [suspect for suspect in self.suspects if key in suspect.depths]
