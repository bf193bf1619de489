"""The end of a process."""

import attrs


@attrs.frozen(kw_only=True)
class ProcessEvent:
    """How one incarnation of a process ended.

    :param name: name of the process.
    :param incarnation: number of its start.
    :param at: time at which the end was seen.
    :param status: exit status as ``subprocess`` gives it, negative for a signal.
    :param killed: true if the run killed it.
    :param output: its standard output and error.
    """

    name: str
    incarnation: int
    at: float
    status: int
    killed: bool
    output: str
