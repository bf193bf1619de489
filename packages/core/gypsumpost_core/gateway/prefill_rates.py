"""Prefill rates of the engines, measured by this host or reported by others.

The load pattern: hundreds of hosts send a few prompts a minute each to engines whose speeds differ
by a factor of three. No host sends enough prompts to learn the speeds by itself, and long prompts
are on time only at the faster engines, so hosts tell each other the rates that they measure.
"""

from collections.abc import Mapping

import attrs

DEFAULT_RATE = 4000.0
"""Prefill rate in prompt tokens per second, assumed before one is known."""

MIN_RATE = 400.0
"""A slower engine would not be chosen at all, and so not be measured again."""

MAX_RATE = 1e6
MIN_PROMPT_TOKENS = 1000
"""The first event of a shorter prompt takes a time that does not depend on its length."""

KEEP_SECONDS = 30.0
DOUBLING_SECONDS = 15.0
"""A rate below the default that is not measured for ``KEEP_SECONDS`` doubles in this time, up to
the default. So an engine that no host chooses is tried again."""

RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.2
"""Weights of a higher and of a lower value in the mean: prompts of which this host does not know
make an engine appear slower, and nothing makes it appear faster."""

MAX_DOUBLINGS = 10.0
"""More than lead from ``MIN_RATE`` to the default."""

REPORT_SECONDS = 1.5
"""How long a new rate is reported repeatedly, because datagrams may be lost."""


@attrs.define(kw_only=True)
class PrefillRates:
    """Keeps a smoothed rate in tokens per second of each engine."""

    _rates: dict[str, float] = attrs.field(factory=dict, init=False)
    _updated_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _measured_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _received_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _last_reports: dict[str, int] = attrs.field(factory=dict, init=False)

    def get(self, engine: str, now: float) -> float:
        """Return the prefill rate of an engine in tokens per second, at least ``MIN_RATE``.

        :param engine: id of the engine.
        :param now: monotonic time in seconds.
        """
        known = self._rates.get(engine, DEFAULT_RATE)
        if known >= DEFAULT_RATE:
            return known
        unmeasured = now - self._updated_at[engine]
        doublings = max(0.0, unmeasured - KEEP_SECONDS) / DOUBLING_SECONDS
        return min(DEFAULT_RATE, known * 2 ** min(doublings, MAX_DOUBLINGS))

    def measure(self, engine: str, tokens: int, seconds: float, now: float) -> None:
        """Record how long an engine took to prefill prompts.

        :param engine: id of the engine.
        :param tokens: prompt tokens that it had to prefill, those of other streams included.
        :param seconds: time from the request to the first event.
        :param now: monotonic time in seconds.
        """
        if tokens >= MIN_PROMPT_TOKENS and seconds > 0:
            self._merge(engine, tokens / seconds, now)
            self._measured_until[engine] = now + REPORT_SECONDS

    def add_reports(self, rates: Mapping[str, int], now: float, *, own_domain: bool) -> None:
        """Record the rates that another host reports.

        :param rates: rates in tokens per second by engine.
        :param now: monotonic time in seconds.
        :param own_domain: true if the other host is in this host's domain.
        """
        for engine, rate in rates.items():
            # Reports are repeated, and each measurement is to count once.
            if self._last_reports.get(engine) != rate:
                self._last_reports[engine] = rate
                self._merge(engine, rate, now)
            if own_domain:
                self._received_until[engine] = now + REPORT_SECONDS

    def list_measured(self, now: float) -> dict[str, int]:
        """Return the rates that this host has measured lately, by engine.

        :param now: monotonic time in seconds.
        """
        return self._list_valid([self._measured_until], now)

    def list_domain(self, now: float) -> dict[str, int]:
        """Return the rates that the hosts of this host's domain have measured lately, by engine.

        :param now: monotonic time in seconds.
        """
        return self._list_valid([self._measured_until, self._received_until], now)

    def _list_valid(self, tables: list[dict[str, float]], now: float) -> dict[str, int]:
        for table in tables:
            for engine in [engine for engine, until in table.items() if until < now]:
                del table[engine]
        return {engine: round(self._rates[engine]) for table in tables for engine in table}

    def _merge(self, engine: str, rate: float, now: float) -> None:
        bounded = max(MIN_RATE, min(MAX_RATE, rate))
        known = self.get(engine, now) if engine in self._rates else bounded
        weight = RISE_WEIGHT if bounded > known else FALL_WEIGHT
        self._rates[engine] = known + weight * (bounded - known)
        self._updated_at[engine] = now
