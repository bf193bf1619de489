"""How an edit of the lists ended."""

import attrs

from gypsumpost_core.lists.list_error import ListError


@attrs.frozen(kw_only=True)
class EditAccepted:
    """The edit is stored and will be in force everywhere within seconds.

    :param revision: the revision that the edit produced.
    """

    revision: int


@attrs.frozen(kw_only=True)
class EditConflict:
    """Another edit was stored first.

    :param revision: the current revision.
    :param difference: what storing this edit over the current lists would change, for a person.
    """

    revision: int
    difference: str


@attrs.frozen(kw_only=True)
class EditRefused:
    """The edit has faults.

    :param errors: each fault with its line and field.
    """

    errors: tuple[ListError, ...]


@attrs.frozen(kw_only=True)
class EditNotAccepted:
    """The edit certainly did not take effect, because the store was not reached.

    :param reason: why.
    """

    reason: str


@attrs.frozen(kw_only=True)
class EditUnknown:
    """The store stayed unreachable after the edit was sent to it.

    :param nonce: nonce of the edit; the history shows it if the edit took effect.
    :param reason: why.
    """

    nonce: str
    reason: str


EditOutcome = EditAccepted | EditConflict | EditRefused | EditNotAccepted | EditUnknown
