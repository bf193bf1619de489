"""The deployment's budget of repeated sends."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.retry_count import RetryCount
from gypsumpost_core.gateway.retry_window import RetryWindow
from gypsumpost_core.gateway.shared_reports import SharedReports

UNREPORTED_SECONDS = 1.0
"""Repeats that the other hosts may not have heard of yet: an idle host reports every 0.75 s."""

Counts = Mapping[str, RetryCount]


@attrs.define(kw_only=True)
class RetryBudget:
    """Bounds the repeated sends of all hosts together to each service in any window of time.

    Hosts report their counts to each other. What is left is shared by those that need it; of what
    it has not reported yet, a host spends at most an equal part, so that all hosts may spend at
    the same moment.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed in a window without regard to requests.
    :param window: length of the window in seconds.
    :param reports: the counts of the others by service.
    """

    ratio: float
    allowance: float
    window: float
    reports: SharedReports[Counts] = attrs.field(init=False)
    _own: dict[str, RetryWindow] = attrs.field(factory=dict, init=False)

    @reports.default
    def _create_reports(self) -> SharedReports[Counts]:
        # What a lost host has sent counts until the window has passed.
        return SharedReports(seconds=self.window)

    def set_bounds(self, *, ratio: float, allowance: float, window: float) -> None:
        """Change the budget; what was counted stays.

        :param ratio: repeats allowed for each request.
        :param allowance: repeats allowed in a window without regard to requests.
        :param window: length of the window in seconds.
        """
        self.ratio, self.allowance, self.window = ratio, allowance, window
        self.reports.seconds = window

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller.

        :param service: its service.
        :param now: process time in seconds.
        """
        self._get_window(service).note_request(now)

    def try_spend(self, service: str, now: float, hosts: int) -> bool:
        """Count a repeat if the budget allows it.

        :param service: the service.
        :param now: process time in seconds.
        :param hosts: number of hosts that share the budget.
        """
        window = self._get_window(service)
        left = self.compute_left(service, now)
        unreported = window.count_repeats(now - UNREPORTED_SECONDS)
        if left < 1 or unreported + 1 > max(1.0, (left + unreported) / max(1, hosts)):
            return False
        window.note_repeat(now)
        return True

    def compute_left(self, service: str, now: float) -> float:
        """Return the repeats to a service that are left in the present window.

        :param service: the service.
        :param now: process time in seconds.
        """
        known = self.sum_domain(now).get(service, RetryCount())
        for counts in self.reports.list_domains(now):
            known += counts.get(service, RetryCount())
        return self.ratio * known.requests + self.allowance - known.repeats

    def compute_least(self, now: float) -> float:
        """Return what is left of the budget of the service that has least.

        :param now: process time in seconds.
        """
        left = (self.compute_left(service, now) for service in self._own)
        return min(left, default=self.allowance)

    def sum_own(self, now: float) -> dict[str, RetryCount]:
        """Return the counts of this host by service.

        :param now: process time in seconds.
        """
        return {name: window.count(now - self.window) for name, window in self._own.items()}

    def sum_domain(self, now: float) -> dict[str, RetryCount]:
        """Return the counts of the hosts of the own domain by service.

        :param now: process time in seconds.
        """
        found = self.sum_own(now)
        for counts in self.reports.list_hosts(now):
            for service, count in counts.items():
                found[service] = found.get(service, RetryCount()) + count
        return found

    def _get_window(self, service: str) -> RetryWindow:
        return self._own.setdefault(service, RetryWindow())
