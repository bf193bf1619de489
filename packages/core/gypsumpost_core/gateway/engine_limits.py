"""What the engines of a service can hold."""

import attrs


@attrs.frozen(kw_only=True)
class EngineLimits:
    """Capacity of each engine of a service.

    :param slots: requests that run at once.
    :param memory_tokens: tokens of running requests and cached parts together.
    :param keeps_copies: true if an engine sends the memory of its runs to another one on request.
    :param models: names of the models that the engines serve.
    """

    slots: int
    memory_tokens: int
    keeps_copies: bool
    models: frozenset[str] = frozenset()
