"""The tree along which a change spreads through a failure domain."""

from collections.abc import Sequence

from gypsumpost_core.host import Host

FAN_OUT = 4
"""A change of 300 bytes costs a daemon at most 1.2 KB to pass on, however large the domain is."""


def list_children(own: Host, ranked: Sequence[Host]) -> list[Host]:
    """Return the hosts that this host passes a change on to.

    :param own: this host.
    :param ranked: the live hosts of the domain by rendezvous, the first watcher first.
    """
    if own not in ranked:
        return []
    first = ranked.index(own) * FAN_OUT + 1
    return list(ranked[first : first + FAN_OUT])
