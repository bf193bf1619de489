"""What the engines of a service can hold."""

import attrs


@attrs.frozen(kw_only=True)
class EngineLimits:
    """Capacity of each engine of a service.

    :param slots: requests that run at once.
    :param memory_tokens: tokens of running requests and cached parts together.
    :param keeps_copies: true if an engine sends the memory of its runs to another one on request.
    :param copy_seconds: how long a copy is kept after its last part.
    :param event_tokens: tokens in one event of a stream.
    :param models: names of the models that the engines serve.
    """

    slots: int
    memory_tokens: int
    keeps_copies: bool
    copy_seconds: float
    event_tokens: int = 1
    models: frozenset[str] = frozenset()
