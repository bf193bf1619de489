"""Compact form of a host's addresses."""

import ipaddress

import attrs

from gypsumpost_core.host import Host
from gypsumpost_core.settings.setting_parsers import parse_address, parse_optional_address
from gypsumpost_daemon.addresses import split_address


@attrs.frozen(kw_only=True)
class CompactAddresses:
    """One IPv4 address with the ports of the listeners, or the addresses as text.

    Encoded as text, the three addresses of a host took a third of a datagram without updates.

    :param ip: the IPv4 address as a number, 0 if the text is used.
    :param peer_port: port of the listener for other daemons.
    :param gossip_port: port of the UDP socket.
    :param api_port: port of the callers' listener, 0 if it is not known.
    :param text: the addresses separated by spaces, if they do not share one IPv4 address.
    """

    ip: int = 0
    peer_port: int = 0
    gossip_port: int = 0
    api_port: int = 0
    text: str = ""

    def create_host(self, host_id: str, failure_domain: str) -> Host:
        """Return the host with these addresses.

        :param host_id: name of the host.
        :param failure_domain: its failure domain.
        :raises ValueError: if the text is malformed.
        """
        if self.ip:
            ip = ipaddress.IPv4Address(self.ip)
            peer, gossip = f"{ip}:{self.peer_port}", f"{ip}:{self.gossip_port}"
            api = f"{ip}:{self.api_port}" if self.api_port else ""
        else:
            peer, gossip, api = self.text.split(" ")
        return Host(
            host_id=host_id,
            failure_domain=failure_domain,
            peer_address=parse_address(peer),
            gossip_address=parse_address(gossip),
            api_address=parse_optional_address(api),
        )


def compact_addresses(host: Host) -> CompactAddresses:
    """Return the addresses of a host in compact form.

    :param host: the host.
    """
    peer_ip, peer_port = split_address(host.peer_address)
    gossip_ip, gossip_port = split_address(host.gossip_address)
    api_ip, api_port = split_address(host.api_address) if host.api_address else (peer_ip, 0)
    same = peer_ip == gossip_ip == api_ip and ":" not in peer_ip
    if not same or (host.api_address and not api_port):
        return CompactAddresses(
            text=f"{host.peer_address} {host.gossip_address} {host.api_address}"
        )
    return CompactAddresses(
        ip=int(ipaddress.IPv4Address(peer_ip)),
        peer_port=peer_port,
        gossip_port=gossip_port,
        api_port=api_port,
    )
