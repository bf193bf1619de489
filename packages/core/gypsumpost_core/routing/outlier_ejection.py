"""Ejection of engines that are slow or fail too often (outlier detection)."""

import statistics
from collections.abc import Sequence

from gypsumpost_core.routing.engine_view import EngineView
from gypsumpost_core.routing.routing_settings import RoutingSettings


def eject_outliers(engines: Sequence[EngineView], settings: RoutingSettings, now: float) -> None:
    """Eject failing engines of one model, then the slowest ones, up to the permitted fraction.

    :param engines: all engines of the model.
    :param settings: routing settings.
    :param now: monotonic time in seconds.
    """
    ejected = sum(engine.health.is_ejected(now) for engine in engines)
    room = int(len(engines) * settings.max_ejected_fraction) - ejected
    for engine in _list_outliers(engines, settings, now)[: max(0, room)]:
        engine.health.eject(now)


def _list_outliers(
    engines: Sequence[EngineView], settings: RoutingSettings, now: float
) -> list[EngineView]:
    measured = [e for e in engines if e.estimate.token_samples >= settings.ejection_samples]
    active = [engine for engine in engines if not engine.health.is_ejected(now)]
    failing = [engine for engine in active if engine.health.is_failing()]
    if len(measured) < 3:
        return failing
    bound = settings.slow_ratio * statistics.median(_get_token_time(engine) for engine in measured)
    slow = [e for e in active if e in measured and e not in failing and _get_token_time(e) > bound]
    return failing + sorted(slow, key=_get_token_time, reverse=True)


def _get_token_time(engine: EngineView) -> float:
    return engine.estimate.estimate_token_time(1)
