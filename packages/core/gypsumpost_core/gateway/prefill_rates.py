"""Prefill rates of the engines, measured by this host or reported by others.

The load pattern: hundreds of hosts send a few prompts a minute each to engines whose speeds differ
by a factor of three. No host sends enough prompts to learn the speeds by itself, and long prompts
are on time only at the faster engines, so hosts tell each other the rates that they measure.
"""

from collections.abc import Mapping

import attrs

DEFAULT_RATE = 4000.0
"""Prefill rate in prompt tokens per second, assumed before one is known."""

RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.2
"""Weights of a higher and of a lower value in the mean: prompts of which this host does not know
make an engine appear slower, and nothing makes it appear faster."""

REPORT_SECONDS = 1.5
"""How long a new rate is reported repeatedly, because datagrams may be lost."""


@attrs.define(kw_only=True)
class PrefillRates:
    """Keeps a smoothed rate in tokens per second of each engine."""

    _rates: dict[str, float] = attrs.field(factory=dict, init=False)
    _measured_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _received_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _last_reports: dict[str, int] = attrs.field(factory=dict, init=False)

    def get(self, engine: str) -> float:
        """Return the prefill rate of an engine in tokens per second.

        :param engine: id of the engine.
        """
        return self._rates.get(engine, DEFAULT_RATE)

    def measure(self, engine: str, tokens: int, seconds: float, now: float) -> None:
        """Record how long an engine took to prefill prompts.

        :param engine: id of the engine.
        :param tokens: prompt tokens that it had to prefill, those of other streams included.
        :param seconds: time from the request to the first event.
        :param now: monotonic time in seconds.
        """
        if tokens > 0 and seconds > 0:
            self._merge(engine, tokens / seconds)
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
                self._merge(engine, rate)
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

    def _merge(self, engine: str, rate: float) -> None:
        known = self._rates.get(engine)
        if known is None:
            self._rates[engine] = rate
        else:
            weight = RISE_WEIGHT if rate > known else FALL_WEIGHT
            self._rates[engine] = known + weight * (rate - known)
