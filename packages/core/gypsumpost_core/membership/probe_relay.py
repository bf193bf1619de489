"""A ping on behalf of another host."""

import attrs

from gypsumpost_core.host import Host


@attrs.frozen(kw_only=True)
class ProbeRelay:
    """Where to pass on the answer to an indirect probe.

    :param requester: the host that asked.
    :param sequence: the requester's number of the probe.
    :param deadline: time after which the answer is of no use.
    """

    requester: Host
    sequence: int
    deadline: float
