"""Tells which streams are paced."""

from gypsumpost_core.gateway.engine_limits import EngineLimits
from gypsumpost_core.gateway.route import Route


def is_paced(route: Route, limits: EngineLimits, total_tokens: int) -> bool:
    """Return true if a stream waits on its host until an engine has room for it.

    That is of use where callers notice pauses and the memory of the engines is used up before
    their slots: prompts then wait inside the engines, and engines preempt streams.

    :param route: route of the stream.
    :param limits: limits of the engines.
    :param total_tokens: maximum tokens of the stream, prompt and output together.
    """
    if route.pause_objective is None or total_tokens > limits.memory_tokens:
        # No engine ever has room for a larger stream; the engine decides about it.
        return False
    return limits.slots * total_tokens > limits.memory_tokens
