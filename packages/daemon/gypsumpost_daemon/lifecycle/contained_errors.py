"""Keeps an unexpected error in one step of a task from ending the process."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_daemon.telemetry.log import Log


@contextmanager
def contain_errors(log: Log, step: str, **fields: Any) -> Iterator[None]:
    """Log an error in a step and end only the step; a broken invariant ends the process.

    :param log: log of the task.
    :param step: what failed, for the log.
    :param fields: further fields of the line.
    """
    try:
        yield
    except Exception as error:
        if contains_broken_invariant(error):
            raise
        log.write("a step failed", step=step, error=repr(error), **fields)


def contains_broken_invariant(error: BaseException) -> bool:
    """Return true for a broken invariant, also inside an exception group.

    :param error: the exception.
    """
    if isinstance(error, BaseExceptionGroup):
        return error.subgroup(BrokenInvariant) is not None
    return isinstance(error, BrokenInvariant)
