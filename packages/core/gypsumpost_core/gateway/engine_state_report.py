"""An engine's report of its state."""

import attrs


@attrs.frozen(kw_only=True)
class EngineStateReport:
    """What an engine says when it is asked.

    :param started_at: Unix milliseconds of its start.
    :param models: names of the models that it serves.
    :param leaving: true if it takes no new work.
    """

    started_at: int
    models: frozenset[str]
    leaving: bool
