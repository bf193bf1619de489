"""Snapshot of the platform's host list."""

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_daemon.peers.listed_host import ListedHost


@attrs.frozen(kw_only=True)
class HostListSnapshot:
    """The hosts and endpoints that the platform lists.

    :param hosts: entry hosts.
    :param endpoints: back ends.
    :param rejected: descriptions of the entries that were skipped because they are malformed.
    """

    hosts: tuple[ListedHost, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    rejected: tuple[str, ...] = ()
