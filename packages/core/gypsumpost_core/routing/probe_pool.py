"""Schedule of load probes and a bounded pool of recent ones."""

from collections import OrderedDict, deque
from collections.abc import Iterable

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.routing_settings import RoutingSettings


@attrs.define(kw_only=True)
class ProbePool:
    """The engines that were probed recently, and the queues of those to probe next.

    The rate of probes is a setting, so it does not grow with the number of engines.

    :param settings: routing settings.
    :param failure_domain: the failure domain of this daemon.
    """

    settings: RoutingSettings
    failure_domain: str
    _probed_at: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    _own: deque[str] = attrs.field(factory=deque)
    _foreign: deque[str] = attrs.field(factory=deque)
    _sent: int = 0
    _budget: float = 0.0
    _refilled_at: float | None = None

    def update_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the engines to probe, keeping the order of those that remain listed."""
        domains = {endpoint.name: endpoint.failure_domain for endpoint in endpoints}
        own = [name for name, domain in domains.items() if domain == self.failure_domain]
        self._own = _merge(self._own, own)
        self._foreign = _merge(self._foreign, [n for n in domains if n not in set(own)])

    def add_probe(self, name: str, now: float) -> None:
        """Record a load report of an engine."""
        self._probed_at[name] = now
        self._probed_at.move_to_end(name)
        if len(self._probed_at) > self.settings.pool_size:
            self._probed_at.popitem(last=False)

    def list_fresh(self, now: float) -> set[str]:
        """Return the engines whose last report is at most ``probe_age`` old."""
        oldest = now - self.settings.probe_age
        return {name for name, probed_at in self._probed_at.items() if probed_at >= oldest}

    def list_targets(self, now: float) -> list[str]:
        """Return the engines to probe now, least recently probed first."""
        self._refill(now)
        count = min(int(self._budget), len(self._own) + len(self._foreign))
        self._budget -= count
        return list(dict.fromkeys(self._pop_target() for _ in range(count)))

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._refilled_at is None else now - self._refilled_at
        rate = self.settings.probes_per_second
        first = rate if self._refilled_at is None else 0.0
        self._budget = min(rate, self._budget + elapsed * rate + first)
        self._refilled_at = now

    def _pop_target(self) -> str:
        self._sent += 1
        foreign_turn = self._sent % self.settings.foreign_probe_interval == 0
        queue = self._foreign if self._foreign and (foreign_turn or not self._own) else self._own
        name = queue.popleft()
        queue.append(name)
        return name


def _merge(order: deque[str], names: list[str]) -> deque[str]:
    queued = set(order)
    listed = set(names)
    kept = [name for name in order if name in listed]
    return deque([name for name in names if name not in queued] + kept)
