"""Counts of the answers to calls."""

import attrs
import orjson

from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_response import CallerResponse

OK_STATUS = 200


@attrs.define(kw_only=True)
class CallCounts:
    """Counts of the answers that the callers of one run received.

    :param served: calls that a service answered.
    :param refused: calls that were answered ``not_run``.
    :param longest: longest time to an answer, in seconds.
    """

    served: int = 0
    refused: int = 0
    longest: float = 0.0

    def record(self, response: CallerResponse, seconds: float) -> None:
        """Count an answer.

        :param response: the answer.
        :param seconds: time to the answer.
        """
        self.served += response.status == OK_STATUS
        self.refused += read_run_state(response) == RunState.NOT_RUN.value
        self.longest = max(self.longest, seconds)


def read_run_state(response: CallerResponse) -> str:
    """Return the run state of an error, empty for an answer of the service.

    :param response: the answer to a caller.
    """
    body = orjson.loads(response.body)
    return str(body.get("error", {}).get("run_state", ""))
