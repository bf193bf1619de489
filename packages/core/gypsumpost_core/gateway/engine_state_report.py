"""Report of an engine's state."""

import attrs


@attrs.frozen(kw_only=True)
class EngineStateReport:
    """State that an engine returns on request.

    :param started_at: Unix milliseconds at which the engine process started.
    """

    started_at: int
