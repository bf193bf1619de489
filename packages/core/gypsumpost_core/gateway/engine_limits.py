"""Capacity of the engines of a service."""

import attrs


@attrs.frozen(kw_only=True)
class EngineLimits:
    """Capacity of each engine of a service.

    :param slots: maximum number of concurrent requests.
    :param memory_tokens: tokens of running requests and of the cache together.
    :param keeps_copies: true if an engine copies the memory of its streams to another on request.
    :param models: names of the models that the engines serve.
    """

    slots: int
    memory_tokens: int
    keeps_copies: bool
    models: frozenset[str] = frozenset()
