"""Message that replicates the lists between daemons."""

import attrs

from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.lists import Lists


@attrs.frozen(kw_only=True)
class ListUpdate:
    """A LIST_CHANGES or LIST_REVISION request or reply.

    :param revision: the sender's revision.
    :param store_seen_at: Unix time in seconds of the latest contact with the store known to the
        sender, by itself or another daemon; 0 for none.
    :param changes: changes for the receiver, oldest first.
    :param snapshot: all entries, if the receiver is too far behind for incremental changes.
    """

    revision: int
    store_seen_at: float
    changes: tuple[ListChange, ...] = ()
    snapshot: Lists | None = None
