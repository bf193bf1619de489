"""The endpoints that operators have stopped."""

import attrs


@attrs.frozen(kw_only=True)
class StoppedEndpoints:
    """The set of stopped endpoints at a store revision; a higher revision replaces a lower one.

    :param revision: store revision of the set with the era in its upper bits, 0 if the store was
        never read.
    :param names: names of the endpoints, which must not receive new requests.
    """

    revision: int = 0
    names: frozenset[str] = frozenset()
