"""A load report of an engine."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class EngineLoad:
    """What an engine reports about itself, with a lag.

    :param boot_id: changes whenever the engine process starts.
    :param running: generations in the batch.
    :param waiting: generations in the engine's queue.
    :param cache_used: used fraction of the cache memory, 0 to 1.
    :param sampled_at: Unix time in seconds at which the engine took the sample.
    :param draining: true if the engine says that it is leaving.
    :param models: what it has loaded.
    :param model_slots: how many models with adapters its memory holds, 0 if it does not say.
    """

    boot_id: str
    running: int
    waiting: int
    cache_used: float
    sampled_at: float
    draining: bool
    models: tuple[ModelRef, ...]
    model_slots: int = 0
