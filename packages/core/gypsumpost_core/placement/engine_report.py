"""State of one engine as input of placement."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class EngineReport:
    """The report of an engine that responded in the current placement round.

    :param name: name of the endpoint.
    :param boot_id: changes whenever the engine process starts.
    :param models: model references that it has loaded.
    :param model_slots: number of model references that fit in its memory.
    :param load: number of running and queued generations.
    :param leaving: true if it accepts no new requests.
    :param checks_fencing: true if it rejects orders with an outdated fencing token.
    """

    name: str
    boot_id: str
    models: frozenset[ModelRef]
    model_slots: int
    load: int = 0
    leaving: bool = False
    checks_fencing: bool = False
