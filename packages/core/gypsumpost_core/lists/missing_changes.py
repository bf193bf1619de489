"""Changes that a daemon has not received."""

import attrs


@attrs.frozen(kw_only=True)
class MissingChanges:
    """A change arrived before the ones that precede it.

    :param known: the last revision in force.
    :param arrived: the revision of the change that could not be applied.
    """

    known: int
    arrived: int
