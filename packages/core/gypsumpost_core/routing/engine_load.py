"""A load report of an engine."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Load and identity of an engine as it reported them; out of date by the time it is used.

    :param boot_id: changes whenever the engine process starts.
    :param running: generations in the batch.
    :param waiting: generations in the engine's queue.
    :param cache_used: used fraction of the cache memory, 0 to 1.
    :param sampled_at: Unix time in seconds at which the engine took the sample.
    :param draining: true if the engine reports that it is leaving.
    :param models: model references that it has loaded.
    :param model_slots: number of model references that fit in its memory, 0 if not reported.
    """

    boot_id: str
    running: int
    waiting: int
    cache_used: float
    sampled_at: float
    draining: bool
    models: tuple[ModelRef, ...]
    model_slots: int = 0
