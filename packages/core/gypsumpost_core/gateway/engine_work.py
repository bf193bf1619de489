"""Requests that an engine reports as its work."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class EngineWork:
    """Requests that an engine had a few hundred milliseconds ago.

    :param running: number of events made, by id of the request, of those whose prompt is prefilled.
    :param unstarted: number of requests that wait, or whose prompt is being prefilled.
    """

    running: Mapping[str, int]
    unstarted: int
