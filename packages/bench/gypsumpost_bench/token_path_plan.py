"""Schedule of one run of the token-path experiment."""

import attrs


@attrs.frozen(kw_only=True)
class TokenPathPlan:
    """Schedule of a load client; times are ``time.monotonic`` seconds.

    :param start: when the first long stream is opened.
    :param ramp_end: when the last long stream is opened.
    :param steady_start: start of the window without new connections.
    :param steady_end: end of that window; short streams are opened from then on.
    :param burst_start: start of the second with many new connections.
    :param end: when all streams are closed.
    :param streams: number of long streams.
    :param probes: number of short streams from ``steady_end`` to one second before ``burst_start``.
    :param burst: number of short streams in the second after ``burst_start``.
    :param key: bearer key to send, empty for none.
    :param end_events: events without tokens at the end of a stream.
    """

    start: float
    ramp_end: float
    steady_start: float
    steady_end: float
    burst_start: float
    end: float
    streams: int
    probes: int
    burst: int
    key: str = ""
    end_events: int = 0

    def create_openings(self) -> list[tuple[float, str]]:
        """Return when to open which kind of stream, in order of time."""
        phases = [
            ("long", self.streams, self.start, self.ramp_end),
            ("probe", self.probes, self.steady_end, self.burst_start - 1),
            ("burst", self.burst, self.burst_start, self.burst_start + 1),
        ]
        return [
            (begin + (end - begin) * number / count, kind)
            for kind, count, begin, end in phases
            for number in range(count)
        ]
