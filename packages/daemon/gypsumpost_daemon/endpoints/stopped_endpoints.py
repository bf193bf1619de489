"""The endpoints that operators have stopped."""

import attrs


@attrs.frozen(kw_only=True)
class StoppedEndpoints:
    """A state of the operators' wishes; a higher revision replaces a lower one.

    :param revision: store revision at which it was read, 0 if the store was never read.
    :param names: endpoints that must not receive new work.
    """

    revision: int = 0
    names: frozenset[str] = frozenset()
