"""A gap in the sequence of changes."""

import attrs


@attrs.frozen(kw_only=True)
class MissingChanges:
    """A change was received before the ones that precede it.

    :param known: the current revision.
    :param arrived: the revision of the change that could not be applied.
    """

    known: int
    arrived: int
