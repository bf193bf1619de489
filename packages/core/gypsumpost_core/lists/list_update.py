"""What daemons tell each other about the lists."""

import attrs

from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.lists import Lists


@attrs.frozen(kw_only=True)
class ListUpdate:
    """A request or reply of LIST_CHANGES and LIST_REVISION.

    :param revision: the sender's revision.
    :param store_seen_at: Unix time in seconds of the last contact with the store that the sender
        knows of, its own or another daemon's; 0 for none.
    :param changes: changes for the receiver, oldest first.
    :param snapshot: all entries, for a receiver that is too far behind for changes.
    """

    revision: int
    store_seen_at: float
    changes: tuple[ListChange, ...] = ()
    snapshot: Lists | None = None
