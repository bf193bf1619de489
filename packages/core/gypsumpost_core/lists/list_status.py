"""Status of a daemon's lists."""

import attrs


@attrs.frozen(kw_only=True)
class ListStatus:
    """Status of a daemon's lists in the administration interface.

    :param revision: the current revision.
    :param store_seen_at: Unix time in seconds of the latest known contact with the store, by this
        daemon or another one; 0 for none.
    :param cut_off: true if that contact is too old to exclude newer revisions in the store.
    :param watching: true if this daemon watches the store for its failure domain.
    """

    revision: int
    store_seen_at: float
    cut_off: bool
    watching: bool
