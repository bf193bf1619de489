"""Divides what endpoints with limits take among the requests of all hosts."""

import math
from collections import Counter

import attrs

from gypsumpost_core.limits.permit_decision import PermitDecision, PermitVerdict
from gypsumpost_core.limits.permit_request import PermitRequest
from gypsumpost_core.limits.permit_supply import PermitSupply
from gypsumpost_core.limits.request_limit import LOWEST_RATE
from gypsumpost_core.limits.token_bucket import TokenBucket

BURST_SECONDS = 0.2
"""Requests that an endpoint has not been sent may follow later, up to this many seconds of its
limit; at least one request, since requests are whole."""

MAX_RETURN_SECONDS = 30.0
"""Longest time after which a refused request is told to come back."""


@attrs.frozen(kw_only=True)
class PermitTicket:
    """A request for a permit that waits.

    :param number: number of its arrival.
    :param request: the request.
    """

    number: int
    request: PermitRequest

    @property
    def rank(self) -> tuple[int, float, int]:
        """Sorts the tickets in the order in which they are served."""
        return self.request.priority, self.request.deadline, self.number


@attrs.frozen(kw_only=True)
class PlannedPermit:
    """When and where a waiting request can be sent if no further requests arrive.

    :param ticket: the request.
    :param key: the endpoint.
    :param at: monotonic time in seconds.
    :param in_time: true if that is soon enough for the request.
    """

    ticket: PermitTicket
    key: str
    at: float
    in_time: bool


@attrs.define(kw_only=True)
class PermitQueue:
    """Grants permits for a group of endpoints by priority and deadline, within their limits.

    A request is refused as soon as it is clear that it cannot be granted in time, and is told when
    to come back. These times are as far apart as the permits, so that refused requests do not come
    back at the same moment.

    :param closed_until: monotonic time in seconds before which nothing is granted, as another host
        may still grant permits for the same endpoints.
    """

    closed_until: float = -math.inf
    _supplies: dict[str, PermitSupply] = attrs.field(factory=dict, init=False)
    _buckets: dict[str, TokenBucket] = attrs.field(factory=dict, init=False)
    _rates: dict[str, float] = attrs.field(factory=dict, init=False)
    _waiting: list[PermitTicket] = attrs.field(factory=list, init=False)
    _returns_at: float = attrs.field(default=-math.inf, init=False)

    def set_limit(self, key: str, per_second: float | None, now: float) -> None:
        """Set the limit of an endpoint.

        :param key: the endpoint.
        :param per_second: requests per second, ``None`` for no limit.
        :param now: monotonic time in seconds.
        """
        if per_second is None:
            self._supplies.pop(key, None)
            self._buckets.pop(key, None)
            self._rates.pop(key, None)
            return
        rate = max(LOWEST_RATE, per_second)
        if self._rates.get(key) == rate:
            return
        bucket = self._buckets.get(key)
        if bucket is None:
            # It starts empty: the endpoint may just have had requests.
            bucket = TokenBucket(burst_seconds=BURST_SECONDS, minimum_capacity=1.0, now=now)
            bucket.take(1.0, now)
            self._buckets[key] = self._supplies[key] = bucket
        bucket.set_rate(rate, now)
        self._rates[key] = rate

    def set_supply(self, key: str, supply: PermitSupply) -> None:
        """Grant permits from an amount that is no limit of an endpoint.

        :param key: name of the amount.
        :param supply: the amount.
        """
        self._supplies[key] = supply

    def offer(self, ticket: PermitTicket, now: float) -> dict[int, PermitDecision]:
        """Add a request.

        :param ticket: the request.
        :param now: monotonic time in seconds.
        :returns: the decisions that are due now by number, for this request and others.
        """
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda waiting: waiting.rank)
        return self.advance(now)

    def withdraw(self, number: int) -> None:
        """Remove a request whose caller does not wait any more.

        :param number: number of the request.
        """
        self._waiting = [ticket for ticket in self._waiting if ticket.number != number]

    def advance(self, now: float) -> dict[int, PermitDecision]:
        """Return the decisions that are due now, by the number of the request.

        :param now: monotonic time in seconds.
        """
        decisions: dict[int, PermitDecision] = {}
        for planned in self._plan(now):
            if planned.in_time and planned.at <= now:
                if planned.key in self._supplies:
                    self._supplies[planned.key].take(1.0, now)
                decision = PermitDecision(verdict=PermitVerdict.GRANTED, key=planned.key)
            elif not planned.in_time:
                decision = self._refuse(planned, now)
            else:
                continue
            decisions[planned.ticket.number] = decision
        self._waiting = [ticket for ticket in self._waiting if ticket.number not in decisions]
        return decisions

    def compute_next_time(self, now: float) -> float:
        """Return the monotonic time in seconds of the next grant, infinite if none waits.

        :param now: monotonic time in seconds.
        """
        return min((planned.at for planned in self._plan(now)), default=math.inf)

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def list_limited(self) -> dict[str, float]:
        """Return the rates at which permits are granted, in requests per second by endpoint."""
        return dict(self._rates)

    def _plan(self, now: float) -> list[PlannedPermit]:
        planned: list[PlannedPermit] = []
        taken: Counter[str] = Counter()
        ahead = 0
        for ticket in self._waiting:
            key, at = self._find_first(ticket.request, taken, now)
            latest = ticket.request.queue_until if ahead else ticket.request.deadline
            in_time = at <= max(latest, now)
            if in_time:
                taken[key] += 1
                ahead += 1
            planned.append(PlannedPermit(ticket=ticket, key=key, at=at, in_time=in_time))
        return planned

    def _find_first(
        self, request: PermitRequest, taken: Counter[str], now: float
    ) -> tuple[str, float]:
        """Return the endpoint that is free first, and when; the preferred one of several."""
        times = [(self._find_time(key, taken[key], now), key) for key in request.keys]
        at, key = min(times, key=lambda pair: pair[0])
        return key, at

    def _find_time(self, key: str, taken: int, now: float) -> float:
        supply = self._supplies.get(key)
        if supply is None:
            return now
        return max(now + supply.compute_wait(taken + 1.0, now), self.closed_until)

    def _refuse(self, planned: PlannedPermit, now: float) -> PermitDecision:
        request = planned.ticket.request
        opens_at = min(planned.at, now + MAX_RETURN_SECONDS)
        if request.deadline > now:
            interval = 1 / sum(self._rates.get(key, math.inf) for key in request.keys)
            opens_at = max(opens_at, self._returns_at + interval)
            opens_at = self._returns_at = min(opens_at, now + MAX_RETURN_SECONDS)
        return PermitDecision(verdict=PermitVerdict.REFUSED, opens_at=opens_at)
