"""Usage of engines by one stream."""

import attrs

MIN_LEFT_RATIO = 0.2
"""Share of a prompt that counts until its first event, as the expected time may be wrong."""


@attrs.define(kw_only=True)
class StreamUsage:
    """Engine usage of a stream of this host.

    :param engine: id of the engine that runs it.
    :param copy_engine: id of the engine that holds its copy, empty for none.
    :param prompt_tokens: prompt tokens that the engine has to prefill.
    :param total_tokens: maximum tokens of the stream, prompt and output together.
    :param prefilling: true while the prompt is prefilled, that is, until the first event.
    :param sent_at: monotonic time in seconds at which the prompt was sent.
    :param prefill_seconds: expected time from then to the first event.
    """

    engine: str
    copy_engine: str = ""
    prompt_tokens: int
    total_tokens: int
    prefilling: bool = True
    sent_at: float = 0.0
    prefill_seconds: float = 0.0

    def estimate_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens that the engine has not prefilled yet, as far as is known.

        :param now: monotonic time in seconds.
        """
        if not self.prefilling:
            return 0
        if not self.prefill_seconds:
            return self.prompt_tokens
        left = 1 - (now - self.sent_at) / self.prefill_seconds
        return round(self.prompt_tokens * max(MIN_LEFT_RATIO, min(1.0, left)))
