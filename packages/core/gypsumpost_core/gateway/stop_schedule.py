"""Which requests a host still takes while it stops, and until when it answers them."""

import math

import attrs

from gypsumpost_core.gateway.request_kind import RequestKind
from gypsumpost_core.gateway.route import Route

ANSWER_SECONDS = 0.2
"""Time left for writing the last answers before the connections are closed."""

ACCEPT_STREAMS_SECONDS = 2.8
"""New streams that may be resumed are accepted for this long after the stop signal."""


@attrs.define(kw_only=True)
class StopSchedule:
    """Times of a planned stop; before it begins, every request is accepted.

    :param answer_by: monotonic time in seconds by which the response to each request has begun.
    :param accept_streams_until: monotonic time in seconds until which new streams are accepted
        that another host can resume.
    """

    answer_by: float = math.inf
    accept_streams_until: float = math.inf

    def begin(self, now: float, deadline: float) -> None:
        """Begin the stop.

        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds at which the connections are closed.
        """
        self.answer_by = deadline - ANSWER_SECONDS
        self.accept_streams_until = now + ACCEPT_STREAMS_SECONDS

    def accepts(self, route: Route, received_at: float, deadline: float) -> bool:
        """Return true if a request may be passed on.

        A request that cannot be resumed has to end before the stop does, however long its endpoint
        takes: once it was sent, nobody can say that it has not run.

        :param route: its route.
        :param received_at: monotonic time in seconds.
        :param deadline: monotonic time in seconds by which its caller has the answer.
        """
        if route.kind is RequestKind.STREAM and route.resumable:
            return received_at <= self.accept_streams_until
        return deadline <= self.answer_by
