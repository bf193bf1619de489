"""A peer from which changes of the directory can be fetched."""

import attrs

from gypsumpost_core.gateway.store_position import StorePosition


@attrs.frozen(kw_only=True)
class DirectorySource:
    """What a peer says of its directory.

    :param host_id: the peer.
    :param failure_domain: its failure domain.
    :param link_mbps: bandwidth of its link in Mbit/s.
    :param version: version of the configuration that it has in force.
    :param endpoint_position: position of the newest endpoint change that it knows.
    """

    host_id: str
    failure_domain: str
    link_mbps: int
    version: int
    endpoint_position: StorePosition

    def is_ahead(self, version: int, endpoint_position: StorePosition) -> bool:
        """Return true if the peer has something newer than a directory.

        :param version: version of the configuration in the directory.
        :param endpoint_position: position of its newest endpoint change.
        """
        return self.version > version or self.endpoint_position > endpoint_position
