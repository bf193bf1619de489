"""A running probe of one host."""

import attrs


@attrs.define(kw_only=True)
class Probe:
    """State of the pings sent to one host until it answers or is declared dead.

    :param host_id: the host.
    :param incarnation: its incarnation at the start; a change is new evidence that it is alive.
    :param sequence: sequence number, echoed in answers.
    :param next_ping: monotonic time in seconds of the next ping.
    :param rounds: number of pings sent so far.
    :param asked_helpers: true if other hosts were asked to ping it.
    :param helper_acknowledged: true if one of them acknowledged the request.
    """

    host_id: str
    incarnation: int
    sequence: int
    next_ping: float
    rounds: int = 0
    asked_helpers: bool = False
    helper_acknowledged: bool = False
