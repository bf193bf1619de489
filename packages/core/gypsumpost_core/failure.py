"""A refused or failed request as a value."""

import attrs

from gypsumpost_core.run_state import RunState


@attrs.frozen(kw_only=True)
class Failure:
    """The reason why a request was refused or failed.

    :param status: HTTP status code for the caller.
    :param code: stable machine-readable code, for example ``model_not_found``.
    :param message: one sentence for the person who reads the error.
    :param run_state: what is known about the execution of the request.
    :param retry_at: Unix time in seconds from which a retry may succeed, ``None`` if unknown.
    """

    status: int
    code: str
    message: str
    run_state: RunState
    retry_at: float | None = None
