"""Parts of limits that a host uses by itself while it does not reach the coordinator."""

import attrs

from gypsumpost_core.limits.permit_decision import PermitDecision, PermitVerdict
from gypsumpost_core.limits.permit_queue import PermitQueue, PermitTicket
from gypsumpost_core.limits.permit_request import PermitRequest


@attrs.define(kw_only=True)
class OwnParts:
    """Grants permits within this host's equal part of each limit.

    A part starts empty, as the coordinator may have granted permits a moment before.
    """

    _queues: dict[str, PermitQueue] = attrs.field(factory=dict, init=False)

    def take(self, request: PermitRequest, hosts: int, now: float) -> PermitDecision:
        """Return whether a request may be sent now; it does not wait.

        Of an amount that is no limit of an endpoint, the host has no further part.

        :param request: the request.
        :param hosts: number of hosts that have a part.
        :param now: monotonic time in seconds.
        """
        if not request.limits:
            return PermitDecision(verdict=PermitVerdict.REFUSED, opens_at=now)
        queue = self._queues.setdefault(request.group, PermitQueue())
        for limit in request.limits:
            per_second = limit.per_second
            queue.set_limit(limit.key, None if per_second is None else per_second / hosts, now)
        at_once = attrs.evolve(request, queue_until=now, deadline=now)
        return queue.offer(PermitTicket(number=0, request=at_once), now)[0]

    def clear(self, group: str) -> None:
        """Give up the parts of a group, because its coordinator grants permits again.

        :param group: name of the group.
        """
        self._queues.pop(group, None)
