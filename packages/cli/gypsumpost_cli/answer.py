"""The answer that a caller received to one request."""

import attrs

from gypsumpost_cli.connection import Connection


@attrs.define(kw_only=True)
class Answer:
    """A streamed answer, assembled from all connections of its request.

    :param request_id: id of the request.
    :param sent_at: monotonic time in seconds at which the request was sent.
    :param prompt_token_ids: the exact prompt.
    :param token_ids: output tokens.
    :param text: output text.
    :param finish_reason: why the answer ended, ``None`` if it has not ended.
    :param error: why the answer is incomplete, ``None`` if no error occurred.
    :param error_status: HTTP status of a refusal, 0 if there was none.
    :param error_code: code of the last error, empty if there was none.
    :param run_state: run state of a refusal, empty if there was none.
    :param arrivals: monotonic time of each event with tokens.
    :param reconnects: number of connections after the first.
    :param last_event_id: id of the last event, from which the answer is resumed.
    :param connections: all connections in order.
    """

    request_id: str
    sent_at: float
    prompt_token_ids: list[int] = attrs.field(factory=list)
    token_ids: list[int] = attrs.field(factory=list)
    text: str = ""
    finish_reason: str | None = None
    error: str | None = None
    error_status: int = 0
    error_code: str = ""
    run_state: str = ""
    arrivals: list[float] = attrs.field(factory=list)
    reconnects: int = 0
    last_event_id: str = ""
    connections: list[Connection] = attrs.field(factory=list)

    @property
    def time_to_first_token(self) -> float | None:
        """Seconds from the request to the first token, ``None`` if there is none yet."""
        return self.arrivals[0] - self.sent_at if self.arrivals else None

    @property
    def longest_gap(self) -> float:
        """Longest time in seconds between two successive events with tokens."""
        gaps = [
            after - before for before, after in zip(self.arrivals, self.arrivals[1:], strict=False)
        ]
        return max(gaps, default=0.0)
