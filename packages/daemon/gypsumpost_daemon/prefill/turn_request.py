"""Request for prefill time of an engine."""

import attrs


@attrs.frozen(kw_only=True)
class TurnRequest:
    """A host's request for prefill time of an engine.

    :param engine: key of the engine's process.
    :param seconds: expected prefill time of the prompt.
    """

    engine: str
    seconds: float
