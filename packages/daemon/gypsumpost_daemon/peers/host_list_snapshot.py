"""One state of the platform's list."""

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_daemon.peers.listed_host import ListedHost


@attrs.frozen(kw_only=True)
class HostListSnapshot:
    """The hosts and endpoints that the platform lists.

    :param hosts: entry hosts.
    :param endpoints: back ends.
    :param rejected: descriptions of the entries that were left out because they are malformed.
    """

    hosts: tuple[ListedHost, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    rejected: tuple[str, ...] = ()
