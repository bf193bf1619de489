"""The exit of a process."""

import attrs


@attrs.frozen(kw_only=True)
class ProcessEvent:
    """The exit of one incarnation of a process.

    :param name: name of the process.
    :param incarnation: number of its start, from 1.
    :param at: time at which the exit was detected.
    :param status: exit status as in ``subprocess``, negative for a signal.
    :param killed: true if the run sent SIGKILL as a planned fault.
    :param output: its standard output and error.
    :param last_message: message of the last line in its log, empty if it has none.
    """

    name: str
    incarnation: int
    at: float
    status: int
    killed: bool
    output: str
    last_message: str = ""
