"""Log events about what callers received."""

from gypsumpost_core.failure import Failure
from gypsumpost_core.generation_record import GenerationRecord
from gypsumpost_daemon.log import Log

LOG = Log(prefix="caller")


def log_refusal(request_id: str, failure: Failure) -> None:
    """Log that a request was answered with an error before it had a generation.

    :param request_id: the request.
    :param failure: the error.
    """
    LOG.write(
        "refused",
        request_id=request_id,
        status=failure.status,
        code=failure.code,
        run_state=failure.run_state.value,
    )


def log_failed_answer(record: GenerationRecord, failure: Failure, offset: int) -> None:
    """Log that an answer ended with an error.

    :param record: the generation.
    :param failure: the error.
    :param offset: output tokens that were sent to the caller.
    """
    LOG.write(
        "answer not completed",
        request_id=record.request_id,
        generation_id=record.generation_id,
        code=failure.code,
        run_state=failure.run_state.value,
        offset=offset,
    )


def log_whole_answer(record: GenerationRecord) -> None:
    """Log that a whole answer was sent to a caller.

    :param record: the generation.
    """
    LOG.write(
        "answer completed",
        request_id=record.request_id,
        generation_id=record.generation_id,
        finish_reason=record.finish_reason,
        offset=record.length,
    )
