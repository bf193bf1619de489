"""Outcomes of an edit of the lists."""

import attrs

from gypsumpost_core.lists.list_error import ListError


@attrs.frozen(kw_only=True)
class EditAccepted:
    """The edit is stored; all daemons apply it within seconds.

    :param revision: the revision that the edit produced.
    """

    revision: int


@attrs.frozen(kw_only=True)
class EditConflict:
    """Another edit was stored first.

    :param revision: the current revision, 0 if the record of an endpoint was removed.
    :param difference: for the lists, a unified diff between the current lists and those of this
        edit, or of the later changes that an undo would overwrite, empty if the store could not be
        read; for an endpoint, a sentence about the other edit.
    """

    revision: int
    difference: str


@attrs.frozen(kw_only=True)
class EditRefused:
    """The edit is invalid.

    :param errors: all errors with their lines and fields.
    """

    errors: tuple[ListError, ...]


@attrs.frozen(kw_only=True)
class EditNotAccepted:
    """The edit certainly did not take effect, because the store was unreachable.

    :param reason: description of the failure.
    """

    reason: str


@attrs.frozen(kw_only=True)
class EditUnknown:
    """The edit was sent to the store, and it is unknown whether it took effect.

    :param nonce: nonce of the edit; if the edit took effect, it is in the history of the lists or
        in the record of the endpoint.
    :param reason: description of the failure.
    """

    nonce: str
    reason: str


EditOutcome = EditAccepted | EditConflict | EditRefused | EditNotAccepted | EditUnknown
