"""Settings of a gateway."""

import attrs

RELOADED = (
    "seed_ips",
    "link_mbps",
    "stop_seconds",
    "retry_ratio",
    "retry_window_seconds",
    "retry_allowance",
)
"""Settings that a running gateway takes over; the others need a restart."""


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """What a gateway needs to know when it starts.

    :param host_id: unique name of the host.
    :param failure_domain: failure domain of the host.
    :param caller_address: ``ip:port`` for callers.
    :param ready_address: ``ip:port`` for the balancer's question whether the host is ready.
    :param metrics_address: ``ip:port`` for metrics, empty for none.
    :param peer_address: ``ip:port`` of the TCP listener for other hosts.
    :param gossip_address: ``ip:port`` of the UDP socket for membership.
    :param beacon_address: ``ip:port`` of the UDP socket for beacons; all hosts use one port.
    :param peer_key: shared key with which hosts prove that they belong to the deployment.
    :param seed_ips: addresses of hosts that may know others.
    :param store_address: ``ip:port`` of the platform's store.
    :param link_mbps: bandwidth of the host's link in Mbit/s.
    :param stop_seconds: time from the signal to stop until the process is killed.
    :param retry_ratio: repeated sends allowed for each request.
    :param retry_window_seconds: window of the retry budget.
    :param retry_allowance: repeated sends allowed in a window besides, all hosts together.
    """

    host_id: str
    failure_domain: str
    caller_address: str
    ready_address: str
    metrics_address: str = ""
    peer_address: str
    gossip_address: str
    beacon_address: str
    peer_key: bytes = attrs.field(default=b"gypsumpost", repr=False)
    seed_ips: tuple[str, ...] = ()
    store_address: str
    link_mbps: int = 1000
    stop_seconds: float = 30.0
    retry_ratio: float = 0.1
    retry_window_seconds: float = 10.0
    retry_allowance: float = 10.0

    def find_changes(self, other: "GatewaySettings") -> tuple[str, ...]:
        """Return the names of the settings that differ.

        :param other: other settings.
        """
        names = [field.name for field in attrs.fields(GatewaySettings)]
        return tuple(name for name in names if getattr(self, name) != getattr(other, name))
