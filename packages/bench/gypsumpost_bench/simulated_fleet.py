"""Hosts and directories for daemons that are simulated in one process."""

from gypsumpost_core.host import Host
from gypsumpost_daemon.peers.host_directory import HostDirectory

DOMAINS = 3


def create_hosts(count: int) -> list[Host]:
    """Return hosts that are distributed evenly over the failure domains.

    :param count: number of hosts.
    """
    return [
        Host(host_id=f"h{n}", failure_domain=f"d{n % DOMAINS}", peer_address="127.0.0.1:1")
        for n in range(count)
    ]


def create_directory(own: Host, hosts: list[Host]) -> HostDirectory:
    """Return a directory in which all hosts are live.

    :param own: the host that uses the directory.
    :param hosts: all hosts.
    """
    directory = HostDirectory(own=own)
    for host in hosts:
        directory.update(host, live=True)
    return directory
