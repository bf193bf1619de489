"""A gap in the sequence of changes."""

import attrs


@attrs.frozen(kw_only=True)
class MissingChanges:
    """A change was received before the ones that precede it.

    :param current_revision: the current revision.
    :param received_revision: the revision of the change that could not be applied.
    """

    current_revision: int
    received_revision: int
