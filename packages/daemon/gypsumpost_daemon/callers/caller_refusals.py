"""Failures with which callers' requests are refused."""

from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState

CANCELLED = Failure(
    status=410,
    code="cancelled",
    message="The caller cancelled the generation.",
    run_state=RunState.RUN,
)


def refuse_request(status: int, code: str, message: str) -> Failure:
    """Return the refusal of a request that was not run.

    :param status: HTTP status code.
    :param code: machine-readable code.
    :param message: one sentence for the caller.
    """
    return Failure(status=status, code=code, message=message, run_state=RunState.NOT_RUN)


def report_lost_generation(message: str) -> Failure:
    """Return the failure for a generation whose state was not found.

    :param message: one sentence for the caller.
    """
    return Failure(
        status=404, code="generation_not_found", message=message, run_state=RunState.UNKNOWN
    )
