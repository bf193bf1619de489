"""Load that an endpoint states in an answer."""

import attrs


@attrs.frozen(kw_only=True)
class EndpointLoad:
    """The requests at an endpoint and the speed of its host, at the moment of the answer.

    :param running: number of requests running.
    :param waiting: number of requests waiting for a slot.
    :param slots: number of requests that run at once, at least 1.
    :param work_factor: how long work takes now as a multiple of the usual time, ``None`` if the
        endpoint does not state it.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None
