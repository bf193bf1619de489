"""Retry budget of each service, shared by all hosts of the deployment."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.retry_count import RetryCount
from gypsumpost_core.gateway.retry_window import RetryWindow
from gypsumpost_core.gateway.shared_reports import SharedReports

UNREPORTED_SECONDS = 1.0
"""Age up to which retries may be unknown to the other hosts: an idle host reports every 0.75 s."""

Counts = Mapping[str, RetryCount]


@attrs.define(kw_only=True)
class RetryBudget:
    """Limits the retries of all hosts together to each service within any time window.

    Hosts report their counts to each other, and the remaining budget is available to any host that
    needs it. Because recent retries may not have been reported yet, the unreported retries of a
    host are limited to its part of the budget, so that all hosts can retry at the same moment
    without exceeding it. The part is that of the work which the host may have to retry: after the
    loss of a domain, a host with five streams needs five retries at once, and most hosts need none.

    :param ratio: retries allowed for each request.
    :param allowance: retries allowed in a window regardless of the number of requests.
    :param window: length of the window in seconds.
    :param reports: the counts of the other hosts by service.
    """

    ratio: float
    allowance: float
    window: float
    reports: SharedReports[Counts] = attrs.field(init=False)
    _windows: dict[str, RetryWindow] = attrs.field(factory=dict, init=False)

    @reports.default
    def _create_reports(self) -> SharedReports[Counts]:
        # Retries of a failed host count until they leave the window.
        return SharedReports(seconds=self.window)

    def set_bounds(self, *, ratio: float, allowance: float, window: float) -> None:
        """Change the limits and keep the counts.

        :param ratio: retries allowed for each request.
        :param allowance: retries allowed in a window regardless of the number of requests.
        :param window: length of the window in seconds.
        """
        self.ratio, self.allowance, self.window = ratio, allowance, window
        self.reports.seconds = window

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller.

        :param service: the service.
        :param now: monotonic time in seconds.
        """
        self._get_window(service).record_request(now)

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry that was granted to another host.

        :param service: the service.
        :param now: monotonic time in seconds.
        """
        self._get_window(service).record_retry(now)

    def try_acquire(self, service: str, now: float, part: float) -> bool:
        """Count a retry if the budget allows it.

        :param service: the service.
        :param now: monotonic time in seconds.
        :param part: this host's part of the work of all hosts, 0 to 1.
        :returns: true if the retry is allowed.
        """
        window = self._get_window(service)
        remaining = self.compute_remaining(service, now)
        unreported = window.count_retries(now - UNREPORTED_SECONDS)
        if remaining < 1 or unreported + 1 > max(1.0, (remaining + unreported) * part):
            return False
        window.record_retry(now)
        return True

    def compute_remaining(self, service: str, now: float) -> float:
        """Return the remaining retries to a service in the current window.

        :param service: the service.
        :param now: monotonic time in seconds.
        """
        counted = self.sum_domain(now).get(service, RetryCount())
        for counts in self.reports.list_domains(now):
            counted += counts.get(service, RetryCount())
        return self.ratio * counted.requests + self.allowance - counted.retries

    def compute_lowest_remaining(self, now: float) -> float:
        """Return the remaining retries of the service that has the fewest left.

        :param now: monotonic time in seconds.
        """
        remaining = (self.compute_remaining(service, now) for service in self._windows)
        return min(remaining, default=self.allowance)

    def sum_own(self, now: float) -> dict[str, RetryCount]:
        """Return the counts of this host in the current window, by service.

        :param now: monotonic time in seconds.
        """
        return {name: window.count(now - self.window) for name, window in self._windows.items()}

    def sum_domain(self, now: float) -> dict[str, RetryCount]:
        """Return the counts of all hosts of this host's domain, by service.

        :param now: monotonic time in seconds.
        """
        totals = self.sum_own(now)
        for counts in self.reports.list_hosts(now):
            for service, count in counts.items():
                totals[service] = totals.get(service, RetryCount()) + count
        return totals

    def _get_window(self, service: str) -> RetryWindow:
        return self._windows.setdefault(service, RetryWindow())
