"""The answer to a request for a permit."""

import enum

import attrs


class PermitVerdict(enum.Enum):
    """Whether a request may be sent now; one that waits has to be asked for again."""

    GRANTED = "granted"
    REFUSED = "refused"
    WAITING = "waiting"
    NOT_COORDINATOR = "not-coordinator"


@attrs.frozen(kw_only=True)
class PermitDecision:
    """Whether a request may be sent now, and to which endpoint.

    :param verdict: the decision.
    :param key: the endpoint to send it to, if it is granted.
    :param opens_at: monotonic time in seconds at which the request may be granted if it comes back,
        if it is refused.
    """

    verdict: PermitVerdict
    key: str = ""
    opens_at: float = 0.0

    @property
    def granted(self) -> bool:
        """True if the request may be sent."""
        return self.verdict is PermitVerdict.GRANTED
