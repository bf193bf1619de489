"""State and measurements of one endpoint, as seen by this host."""

import attrs

from gypsumpost_core.gateway.call_failures import CallFailures
from gypsumpost_core.gateway.endpoint_load import EndpointLoad
from gypsumpost_core.gateway.endpoint_record import EndpointRecord

NEVER = float("-inf")
DEFAULT_ANSWER_SECONDS = 0.03
"""Answer time assumed for an endpoint before its first answer."""

SMOOTHING = 0.2
"""Weight of a new value in an exponentially smoothed mean."""

LOAD_HALF_LIFE_SECONDS = 0.25
"""Time in which a stated load loses half of its weight; hosts that endpoints share change their
speed many times a second."""


@attrs.define(kw_only=True)
class EndpointState:
    """An endpoint's record with its measurements.

    :param record: its entry in the directory.
    :param lost_at: monotonic time in seconds at which it was marked lost, ``NEVER`` if it is not.
    :param refused: true while it is marked lost and its address refuses connections.
    :param loss_adopted: true while it is marked lost only because peers report it.
    :param said_leaving: true if it has said in an answer that it leaves.
    :param closed_until: monotonic time in seconds until which it wants no request of this host.
    :param limited_until: monotonic time in seconds until which it has no room within the limit that
        it has named for all hosts.
    :param alive_at: monotonic time in seconds at which it last answered.
    :param pending: requests of this host that are in progress at the endpoint.
    :param answer_seconds: smoothed answer time in seconds, 0 before the first answer.
    :param failure_ratio: smoothed share of failed requests.
    :param call_failures: consecutive failures of calls, which eject it.
    :param event_gap: smoothed interval between events of a stream in seconds, 0 before the first.
    :param load: load that it stated last, ``None`` if it has stated none.
    :param load_at: monotonic time in seconds at which the load was received.
    :param work_seconds: smoothed answer time in seconds without the effect of the load, 0 before
        the first answer with a load.
    """

    record: EndpointRecord
    lost_at: float = NEVER
    refused: bool = False
    loss_adopted: bool = False
    said_leaving: bool = False
    closed_until: float = NEVER
    limited_until: float = NEVER
    alive_at: float = NEVER
    pending: int = 0
    answer_seconds: float = 0.0
    failure_ratio: float = 0.0
    call_failures: CallFailures = attrs.field(factory=CallFailures)
    event_gap: float = 0.0
    load: EndpointLoad | None = None
    load_at: float = NEVER
    work_seconds: float = 0.0

    @property
    def lost(self) -> bool:
        """True while the endpoint is marked lost."""
        return self.lost_at != NEVER

    @property
    def expected_seconds(self) -> float:
        """Expected answer time in seconds."""
        return self.answer_seconds or DEFAULT_ANSWER_SECONDS

    def is_closed(self, now: float) -> bool:
        """Return true while the endpoint wants no request of this host.

        :param now: monotonic time in seconds.
        """
        return now < self.closed_until

    def is_limited(self, now: float) -> bool:
        """Return true while the endpoint has no room within its limit.

        :param now: monotonic time in seconds.
        """
        return now < self.limited_until

    def observe_answer(self, seconds: float, failed: bool) -> None:
        """Record the duration and outcome of a request.

        :param seconds: duration of the request.
        :param failed: true if it failed.
        """
        self.answer_seconds = smooth(self.answer_seconds, seconds)
        self.observe_outcome(failed)

    def observe_outcome(self, failed: bool) -> None:
        """Record whether a request failed although the endpoint is alive.

        :param failed: true if it failed.
        """
        self.failure_ratio += SMOOTHING * (float(failed) - self.failure_ratio)

    def observe_call_end(self, *, served: bool, now: float) -> None:
        """Record whether a call was served or failed by the endpoint's own fault.

        :param served: true if it was served.
        :param now: monotonic time in seconds.
        """
        if not served:
            self.call_failures.observe_failure(now)
        elif self.call_failures.observe_success():
            # The failures before the ejection say nothing about the endpoint that has recovered.
            self.failure_ratio = 0.0

    def observe_load(self, load: EndpointLoad, now: float) -> None:
        """Record the load that the endpoint states.

        :param load: the load.
        :param now: monotonic time in seconds.
        """
        self.load = load
        self.load_at = now

    def observe_work(self, seconds: float, now: float) -> None:
        """Record the duration of a request that succeeded, without the effect of the load.

        :param seconds: duration of the request.
        :param now: monotonic time in seconds.
        """
        if self.load is not None:
            self.work_seconds = smooth(self.work_seconds, seconds / self.compute_slowdown(now))

    def load_factor(self, now: float) -> float:
        """Return how long work takes as a multiple of the usual time, 1.0 if that is unknown.

        :param now: monotonic time in seconds.
        """
        if self.load is None or self.load.work_factor is None:
            return 1.0
        return 1.0 + (self.load.work_factor - 1.0) * self._weigh_load(now)

    def compute_slowdown(self, now: float) -> float:
        """Return by which factor the load lengthens a request, at least that of the host's speed.

        Requests of this host are known at any time, those of other hosts as of the stated load.

        :param now: monotonic time in seconds.
        """
        if self.load is None:
            return 1.0
        stated = (self.load.running + self.load.waiting) * self._weigh_load(now)
        queue_factor = (max(stated, self.pending) + 1) / self.load.slots
        return self.load_factor(now) * max(1.0, queue_factor)

    def _weigh_load(self, now: float) -> float:
        age = max(0.0, now - self.load_at)
        return float(0.5 ** (age / LOAD_HALF_LIFE_SECONDS))

    def observe_gap(self, seconds: float) -> None:
        """Record the interval in seconds between two events of a stream."""
        self.event_gap = smooth(self.event_gap, seconds)


def smooth(mean: float, value: float) -> float:
    """Return an exponentially smoothed mean; the first value is returned unchanged.

    :param mean: the mean so far, 0 for none.
    :param value: the new value.
    """
    return mean + SMOOTHING * (value - mean) if mean else value
