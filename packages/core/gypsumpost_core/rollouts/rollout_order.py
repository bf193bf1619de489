"""Order of an operator to move a service to a new version."""

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
