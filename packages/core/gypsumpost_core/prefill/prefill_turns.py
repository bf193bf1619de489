"""Prefill time of engines that hosts have been granted.

The load pattern: an engine is empty, because its domain has just come back or a long stream has
ended, and all hosts with waiting prompts see that in reports of the same age. Each of them would
send a prompt, and the last of these prompts waits for all others.
"""

import attrs

MAX_BACKLOG_SECONDS = 0.7
"""Prefill time of the prompts at an engine above which it gets no further prompt. It covers the age
of the reports of other hosts, so that the engine does not become idle."""

MAX_PREFILL_SECONDS = 30.0
"""No prompt takes longer, whatever a host asks for."""

MAX_ENGINES = 4096
"""Engines that are remembered; those that are free are forgotten first."""


@attrs.frozen(kw_only=True)
class PrefillTurn:
    """Answer to a host that wants to send a prompt to an engine.

    :param granted: true if the prompt may be sent now.
    :param opens_at: monotonic time in seconds at which the engine takes a further prompt.
    """

    granted: bool
    opens_at: float


@attrs.define(kw_only=True)
class PrefillTurns:
    """Grants the prefill time of the engines that this host coordinates."""

    _busy_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def take(self, engine: str, seconds: float, now: float) -> PrefillTurn:
        """Return whether a prompt may be sent to an engine, and count it if it may.

        :param engine: key of the engine's process.
        :param seconds: prefill time of the prompt.
        :param now: monotonic time in seconds.
        """
        busy_until = max(now, self._busy_until.get(engine, now))
        opens_at = busy_until - MAX_BACKLOG_SECONDS
        if opens_at > now:
            return PrefillTurn(granted=False, opens_at=opens_at)
        if len(self._busy_until) >= MAX_ENGINES:
            self._forget_free(now)
        busy_until += min(MAX_PREFILL_SECONDS, max(0.0, seconds))
        self._busy_until[engine] = busy_until
        return PrefillTurn(granted=True, opens_at=busy_until - MAX_BACKLOG_SECONDS)

    def _forget_free(self, now: float) -> None:
        self._busy_until = {key: until for key, until in self._busy_until.items() if until > now}
