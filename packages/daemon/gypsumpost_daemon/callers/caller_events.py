"""Log events and metrics of the answers sent to callers."""

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_daemon.telemetry.log import Log
from gypsumpost_daemon.telemetry.metrics import Metrics

LOG = Log(prefix="caller")


class CallerEvents:
    """Logs and counts the outcomes of callers' requests.

    :param metrics: metrics of the daemon.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._requests = metrics.add_counter(
            "gypsumpost_requests_total",
            "Callers' requests by outcome: whole, failed, refused, served or disconnected.",
            "outcome",
            "code",
        )

    def record_refusal(self, request_id: str, failure: Failure) -> None:
        """Record that a request was answered with an error before a generation was started.

        :param request_id: the request.
        :param failure: the error.
        """
        self._requests.add("refused", failure.code)
        LOG.write(
            "refused",
            request_id=request_id,
            status=failure.status,
            code=failure.code,
            run_state=failure.run_state.value,
        )

    def record_failed_answer(self, record: GenerationRecord, failure: Failure, offset: int) -> None:
        """Record that an answer ended with an error.

        :param record: the generation.
        :param failure: the error.
        :param offset: number of output tokens that were sent to the caller.
        """
        self._requests.add("failed", failure.code)
        LOG.write(
            "answer not completed",
            request_id=record.request_id,
            generation_id=record.generation_id,
            code=failure.code,
            run_state=failure.run_state.value,
            offset=offset,
        )

    def record_whole_answer(self, record: GenerationRecord) -> None:
        """Record that a complete answer was sent to a caller.

        :param record: the generation.
        """
        self._requests.add("whole", "")
        LOG.write(
            "answer completed",
            request_id=record.request_id,
            generation_id=record.generation_id,
            finish_reason=record.finish_reason,
            offset=record.length,
        )

    def record_disconnect(self, record: GenerationRecord, offset: int) -> None:
        """Record that a connection closed before the end of the answer; the caller may resume it.

        :param record: the generation.
        :param offset: number of output tokens that were written to the connection.
        """
        self._requests.add("disconnected", "")
        LOG.write(
            "disconnected",
            request_id=record.request_id,
            generation_id=record.generation_id,
            offset=offset,
        )

    def record_service_call(self, request_id: str, status: int) -> None:
        """Record the response to a call of a plain service.

        :param request_id: the request.
        :param status: HTTP status code that the caller received.
        """
        self._requests.add("served", str(status))
        LOG.write("service call answered", request_id=request_id, status=status)
