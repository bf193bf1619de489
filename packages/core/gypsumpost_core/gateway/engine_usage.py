"""Usage of one engine."""

import attrs


@attrs.define(kw_only=True)
class EngineUsage:
    """Usage of an engine by the streams of one or more hosts.

    :param running: number of running streams.
    :param prefill_tokens: prompt tokens that are not prefilled yet.
    :param memory_tokens: prompt and output tokens of the streams.
    :param copy_tokens: tokens of the copies that the engine holds for streams of other engines.
    """

    running: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0
    copy_tokens: int = 0

    def add(self, other: "EngineUsage") -> None:
        """Add the usage that another host reports."""
        self.running += other.running
        self.prefill_tokens += other.prefill_tokens
        self.memory_tokens += other.memory_tokens
        self.copy_tokens += other.copy_tokens
