"""A ping on behalf of another host."""

import attrs

from gypsumpost_core.host import Host


@attrs.frozen(kw_only=True)
class IndirectProbe:
    """An indirect probe whose answer must be forwarded to the requester.

    :param requester: the host that requested the probe.
    :param sequence: sequence number of the requester's probe.
    :param deadline: monotonic time in seconds after which the answer is no longer forwarded.
    """

    requester: Host
    sequence: int
    deadline: float
