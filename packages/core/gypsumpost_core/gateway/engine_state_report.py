"""Report of an engine's state."""

import attrs


@attrs.frozen(kw_only=True)
class EngineStateReport:
    """State that an engine returns on request.

    :param started_at: Unix milliseconds at which the engine process started.
    :param models: names of the models that it serves.
    :param leaving: true if it accepts no new requests.
    """

    started_at: int
    models: frozenset[str]
    leaving: bool
