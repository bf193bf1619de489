"""Order of an operator to move a service to a new version."""

import math

import attrs

MIN_SECONDS = 1.0
"""An order that was found late is still decided on, and rolled back."""


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """What an operator asks for.

    :param service: name of the service.
    :param target_version: the version that the service moves to.
    :param seconds: time that the roll-out may take. The first step of the decider turns it into
        the deadline of the :class:`RolloutRecord`.
    :param revision: number of the order, which identifies it: the position at which it was written,
        as a token.
    :param waited_seconds: time since the order arrived.
    """

    service: str
    target_version: str
    seconds: float
    revision: int
    waited_seconds: float = 0.0

    @property
    def is_valid(self) -> bool:
        """True if the order can be carried out; one that cannot changes nothing."""
        return bool(self.target_version) and math.isfinite(self.seconds) and self.seconds > 0

    @property
    def left_seconds(self) -> float:
        """Time that is left of the order."""
        return max(MIN_SECONDS, self.seconds - self.waited_seconds)
