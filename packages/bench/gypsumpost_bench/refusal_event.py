"""The answer to a request that has to be refused."""

import attrs


@attrs.frozen(kw_only=True)
class RefusalEvent:
    """A malformed request, or one with the resume id of another workspace.

    :param name: name of the fault in the request.
    :param address: caller address of the daemon that was asked.
    :param at: monotonic time in seconds of the answer.
    :param status: HTTP status of the answer, 0 if the connection was lost.
    :param code: code of the error object, empty if there was none.
    :param run_state: run state of the error object, empty if there was none.
    """

    name: str
    address: str
    at: float
    status: int
    code: str = ""
    run_state: str = ""
