"""What placement knows of one engine."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class EngineReport:
    """The last report of an engine that answered in this round.

    :param name: name of the endpoint.
    :param boot_id: changes whenever the engine process starts.
    :param models: what it has loaded.
    :param model_slots: how many model references its memory holds.
    :param load: generations that run or wait.
    :param leaving: true if it takes no new work.
    :param checks_fencing: true if it refuses an order that carries an old fencing token.
    """

    name: str
    boot_id: str
    models: frozenset[ModelRef]
    model_slots: int
    load: int = 0
    leaving: bool = False
    checks_fencing: bool = False
