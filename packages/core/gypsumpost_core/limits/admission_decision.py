"""What admission decided about a request."""

import enum

import attrs

from gypsumpost_core.failure import Failure


class AdmissionVerdict(enum.Enum):
    """The answers of admission."""

    START = "start"
    QUEUED = "queued"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class AdmissionDecision:
    """The decision about one request.

    :param request_id: id of the request.
    :param verdict: what to do with it.
    :param failure: the reason of a refusal.
    :param check_at: process time at which a queued request must be decided again by ``expire``.
    """

    request_id: str
    verdict: AdmissionVerdict
    failure: Failure | None = None
    check_at: float | None = None
