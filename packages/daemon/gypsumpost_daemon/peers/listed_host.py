"""Entry of the platform's host list."""

import attrs

from gypsumpost_core.host import Host


@attrs.frozen(kw_only=True)
class ListedHost:
    """A host with its status on the list.

    :param host: the host and its addresses.
    :param leaving: true if the platform is about to remove it.
    """

    host: Host
    leaving: bool = False
