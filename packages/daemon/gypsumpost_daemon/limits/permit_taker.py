"""Takes permits for one of several endpoints, some of which may have limits."""

import itertools
from collections.abc import Sequence

import attrs
import trio
from result import Err, Ok, Result

from gypsumpost_core.limits.permit_request import PermitRequest
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_daemon.limits.permit_client import PermitClient
from gypsumpost_daemon.limits.permit_terms import AT_ONCE, PermitTerms


@attrs.define(kw_only=True)
class PermitTaker:
    """Chooses between endpoints with and without a limit, in order of preference.

    :param limits: the limits of the endpoints.
    :param client: asks for permits.
    """

    limits: RequestLimits
    client: PermitClient
    _full_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def is_limited(self, key: str) -> bool:
        """Return true if requests to an endpoint need a permit.

        :param key: the process of the endpoint.
        """
        return self.limits.get(key) is not None

    def is_full(self, key: str, now: float) -> bool:
        """Return true if an endpoint has no room within its limit at the moment.

        :param key: the process of the endpoint.
        :param now: monotonic time in seconds.
        """
        return self.is_limited(key) and now < self._full_until.get(key, now)

    async def take(self, group: str, key: str, terms: PermitTerms = AT_ONCE) -> Result[str, float]:
        """Take a permit for one endpoint, see :meth:`take_any`."""
        return await self.take_any(group, [key], terms)

    async def take_any(
        self, group: str, keys: Sequence[str], terms: PermitTerms = AT_ONCE
    ) -> Result[str, float]:
        """Return the endpoint to which a request may be sent.

        A request waits only if all endpoints have limits.

        :param group: what the endpoints have in common; an endpoint is always in the same group.
        :param keys: processes of endpoints, in order of preference; at least one.
        :param terms: how the request may wait.
        :returns: the endpoint, or the monotonic time in seconds at which to come back.
        """
        limited = list(itertools.takewhile(self.is_limited, keys))
        unlimited = next((key for key in keys if not self.is_limited(key)), None)
        if unlimited is None:
            return await self._ask(group, limited, terms)
        now = trio.current_time()
        limited = [key for key in limited if not self.is_full(key, now)]
        granted = await self._ask(group, limited, AT_ONCE) if limited else Err(now)
        return granted if isinstance(granted, Ok) else Ok(unlimited)

    async def _ask(self, group: str, keys: Sequence[str], terms: PermitTerms) -> Result[str, float]:
        now = trio.current_time()
        found = [self.limits.find(key) for key in keys]
        decision = await self.client.acquire(
            PermitRequest(
                group=group,
                limits=tuple(known.limit for known in found if known is not None),
                priority=terms.priority,
                queue_until=max(now, terms.queue_until),
                deadline=max(now, terms.deadline),
            )
        )
        if decision.granted:
            return Ok(decision.key)
        now = trio.current_time()
        self._full_until = {key: until for key, until in self._full_until.items() if now < until}
        self._full_until.update(dict.fromkeys(keys, decision.opens_at))
        return Err(decision.opens_at)
