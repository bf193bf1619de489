"""What a host knows about one endpoint."""

import attrs

from gypsumpost_core.gateway.endpoint_record import EndpointRecord

NEVER = float("-inf")
SMOOTHING = 0.2


@attrs.define(kw_only=True)
class EndpointState:
    """An endpoint's record with what was observed of it.

    :param record: what it says of itself.
    :param lost_at: process time in seconds at which it was taken for lost, ``NEVER`` if it is not.
    :param alive_at: process time of the last sign of life.
    :param pending: requests of this host that it is working on.
    :param seconds: smoothed time of an answer, 0 before the first.
    :param failure_ratio: smoothed share of failed requests.
    :param event_gap: smoothed pause between events of a stream in seconds, 0 before the first.
    :param reading_rate: smoothed prompt tokens read in a second, 0 before the first.
    """

    record: EndpointRecord
    lost_at: float = NEVER
    alive_at: float = NEVER
    pending: int = 0
    seconds: float = 0.0
    failure_ratio: float = 0.0
    event_gap: float = 0.0
    reading_rate: float = 0.0

    @property
    def lost(self) -> bool:
        """True while the endpoint is taken for lost."""
        return self.lost_at != NEVER

    def observe_answer(self, seconds: float, failed: bool) -> None:
        """Note the end of a request.

        :param seconds: how long it took.
        :param failed: true if it failed.
        """
        self.seconds = smooth(self.seconds, seconds)
        self.observe_outcome(failed)

    def observe_outcome(self, failed: bool) -> None:
        """Note whether a request failed although the endpoint is alive.

        :param failed: true if it failed.
        """
        self.failure_ratio += SMOOTHING * (float(failed) - self.failure_ratio)

    def observe_gap(self, seconds: float) -> None:
        """Note the pause between two events of a stream."""
        self.event_gap = smooth(self.event_gap, seconds)

    def observe_reading(self, tokens: int, seconds: float) -> None:
        """Note how long the engine took to read a prompt.

        :param tokens: prompt tokens that were ahead of the first event, other prompts included.
        :param seconds: the time to the first event.
        """
        if seconds > 0 and tokens:
            self.reading_rate = smooth(self.reading_rate, tokens / seconds)


def smooth(mean: float, value: float) -> float:
    """Return an exponentially smoothed mean; the first value counts whole.

    :param mean: the mean so far, 0 for none.
    :param value: the new value.
    """
    return mean + SMOOTHING * (value - mean) if mean else value
