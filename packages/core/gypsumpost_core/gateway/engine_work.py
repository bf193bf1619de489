"""Requests that an engine reports as its work."""

import attrs


@attrs.frozen(kw_only=True)
class EngineWork:
    """Requests that an engine had a few hundred milliseconds ago.

    :param running: ids of the requests whose prompt is prefilled.
    :param unstarted: number of requests that wait, or whose prompt is being prefilled.
    """

    running: frozenset[str]
    unstarted: int
