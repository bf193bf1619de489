"""Capacity of the engines of a service."""

import attrs


@attrs.frozen(kw_only=True)
class EngineLimits:
    """Capacity of each engine of a service.

    :param slots: maximum number of concurrent requests.
    :param memory_tokens: tokens of running requests and of the cache together.
    :param supports_copies: true if engines copy the memory of a stream to another one on request.
    :param copy_seconds: how long an engine keeps a copy that was moved to it, 0 if it takes no
        orders to move streams.
    """

    slots: int
    memory_tokens: int
    supports_copies: bool
    copy_seconds: float = 0.0
