"""An entry host of the deployment."""

import attrs


@attrs.frozen(kw_only=True)
class Host:
    """An entry host and the addresses of its daemon.

    :param host_id: unique name; letters, digits and hyphens only, as it is part of event ids.
    :param failure_domain: name of the failure domain that the host belongs to.
    :param peer_address: ``ip:port`` of the TCP listener for other daemons.
    :param gossip_address: ``ip:port`` of the UDP socket for membership.
    :param api_address: ``ip:port`` of the callers' HTTP listener.
    """

    host_id: str
    failure_domain: str
    peer_address: str
    gossip_address: str = ""
    api_address: str = ""
