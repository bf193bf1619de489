"""An operator's edit of a list."""

import attrs


@attrs.frozen(kw_only=True)
class EditEvent:
    """An edit and its outcome.

    :param base: revision that the edit is based on.
    :param value: value that the edit sets, different for each edit.
    :param outcome: outcome that the daemon reported; ``lost`` if it did not answer.
    :param revision: the new revision of an accepted edit, else 0.
    """

    base: int
    value: int
    outcome: str
    revision: int = 0
