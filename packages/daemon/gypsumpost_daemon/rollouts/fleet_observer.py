"""What this host knows of the fleet that serves a roll-out."""

from collections.abc import Callable

import attrs

from gypsumpost_core.gateway.usage_table import UsageTable
from gypsumpost_core.rollouts.fleet_view import FleetView
from gypsumpost_daemon.gateway.directory import Directory
from gypsumpost_daemon.rollouts.rollout_state import RolloutState


@attrs.frozen(kw_only=True)
class FleetObserver:
    """Counts hosts, endpoints and running requests for the decider.

    :param directory: configuration and endpoints.
    :param usage: running streams of all hosts by engine.
    :param state: records of roll-outs and reports of hosts.
    :param list_domains: returns the failure domain of each live host by its id.
    """

    directory: Directory
    usage: UsageTable
    state: RolloutState
    list_domains: Callable[[], dict[str, str]]

    def observe(self, service: str, target_version: str, now: float) -> FleetView:
        """Return the fleet of a service.

        :param service: name of the service.
        :param target_version: version that the service moves to.
        :param now: monotonic time in seconds.
        """
        record = self.state.records.get(service)
        barred = record.barred if record else ()
        usable = [s for s in self.directory.fleet.list_service(service) if not s.lost]
        target = sum(state.record.version == target_version for state in usable)
        others = sum(state.record.version not in (target_version, *barred) for state in usable)
        routes = self.directory.routes
        domains = self.list_domains()
        return FleetView(
            service_known=routes is not None and routes.find_service(service) is not None,
            target_endpoints=target,
            other_endpoints=others,
            other_requests=self._count_requests(service, target_version, now),
            missing_hosts=self.state.count_silent(domains, now),
            hosts=len(domains),
        )

    def _count_requests(self, service: str, target_version: str, now: float) -> int:
        """Return the streams of all hosts and the calls of this one on other versions."""
        usage = self.usage.sum_all(now)
        running = 0
        for state in self.directory.fleet:
            if state.record.service == service and state.record.version != target_version:
                used = usage.get(state.record.endpoint_id)
                running += state.pending + (used.running if used else 0)
        return running
