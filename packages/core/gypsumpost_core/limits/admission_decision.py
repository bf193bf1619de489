"""Decisions of admission control."""

import enum

import attrs

from gypsumpost_core.failure import Failure


class AdmissionVerdict(enum.Enum):
    """Whether a request starts, is queued or is refused."""

    START = "start"
    QUEUED = "queued"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class AdmissionDecision:
    """The decision for one request.

    :param request_id: id of the request.
    :param verdict: what to do with it.
    :param failure: the error for the caller, if it is refused.
    :param check_at: monotonic time in seconds at which ``expire`` must check a queued request
        again.
    """

    request_id: str
    verdict: AdmissionVerdict
    failure: Failure | None = None
    check_at: float | None = None
