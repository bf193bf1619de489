"""Tree for broadcasting a change within a failure domain."""

from collections.abc import Sequence

from gypsumpost_core.host import Host

FAN_OUT = 4
"""Children per host. Forwarding a change of 300 bytes costs a daemon at most 1.2 KB, regardless of
the size of the domain."""


def list_children(own: Host, ranked: Sequence[Host]) -> list[Host]:
    """Return the hosts to which this host forwards a change; none if it is not in the tree.

    :param own: this host.
    :param ranked: the live hosts of the domain in rendezvous order, starting with the first
        watcher.
    """
    if own not in ranked:
        return []
    first = ranked.index(own) * FAN_OUT + 1
    return list(ranked[first : first + FAN_OUT])
