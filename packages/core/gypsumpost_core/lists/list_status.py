"""How current the lists of a daemon are."""

import attrs


@attrs.frozen(kw_only=True)
class ListStatus:
    """What a daemon tells operators about its lists.

    :param revision: the revision in force.
    :param store_seen_at: Unix time in seconds of the last contact with the store that this daemon
        knows of, its own or another daemon's; 0 for none.
    :param cut_off: true if that contact is so old that newer revisions may exist unseen.
    :param watching: true if this daemon watches the store for its failure domain.
    """

    revision: int
    store_seen_at: float
    cut_off: bool
    watching: bool
