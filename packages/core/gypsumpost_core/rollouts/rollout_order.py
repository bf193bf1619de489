"""Order of an operator to move a service to a new version."""

import math

import attrs


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """What an operator asks for.

    :param service: name of the service.
    :param target_version: the version that the service moves to.
    :param seconds: time that the roll-out may take. The first step of the decider turns it into
        the deadline of the :class:`RolloutRecord`.
    :param revision: store revision of the order, which identifies it.
    """

    service: str
    target_version: str
    seconds: float
    revision: int

    @property
    def is_valid(self) -> bool:
        """True if the order can be carried out; one that cannot changes nothing."""
        return bool(self.target_version) and math.isfinite(self.seconds) and self.seconds > 0
