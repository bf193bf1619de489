"""Settings of a gateway."""

import attrs

from gypsumpost_core.settings.setting import define_setting
from gypsumpost_core.settings.setting_parsers import (
    parse_address,
    parse_boolean,
    parse_integer,
    parse_ips,
    parse_label,
    parse_number,
    parse_optional,
    parse_optional_address,
)

RELOADABLE = (
    "seed_ips",
    "joins_running_hosts",
    "link_mbps",
    "memory_mb",
    "max_descriptors",
    "stop_seconds",
    "retry_ratio",
    "retry_window_seconds",
    "retry_allowance",
)
"""Settings that a running gateway reloads; the others need a restart."""


LABEL = "1 to 200 characters"
ADDRESS = "ip:port"
SECONDS = "a number from 0.1 to 86400"


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of a gateway process; those in ``RELOADABLE`` may change while it runs."""

    host_id: str = define_setting(
        parse=parse_label, accepted=LABEL, help="Unique name of this host."
    )
    failure_domain: str = define_setting(
        parse=parse_label, accepted=LABEL, help="Failure domain that this host stands in."
    )
    caller_address: str = define_setting(
        parse=parse_address, accepted=ADDRESS, help="Address of the callers' HTTP listener."
    )
    ready_address: str = define_setting(
        parse=parse_address,
        accepted=ADDRESS,
        help="Address where the balancer asks whether the host is ready.",
    )
    metrics_address: str = define_setting(
        default="",
        parse=parse_optional_address,
        accepted="ip:port, or empty",
        help="Address of the metrics; empty for none.",
    )
    peer_address: str = define_setting(
        parse=parse_address, accepted=ADDRESS, help="Address of the TCP listener for other hosts."
    )
    gossip_address: str = define_setting(
        parse=parse_address, accepted=ADDRESS, help="Address of the UDP socket for membership."
    )
    beacon_address: str = define_setting(
        parse=parse_address,
        accepted=ADDRESS,
        help="Address of the UDP socket for beacons; all hosts use one port.",
    )
    peer_key: bytes = define_setting(
        default="gypsumpost",
        parse=str.encode,
        accepted="any text",
        secret=True,
        help="Shared key with which hosts prove that they belong to the deployment.",
    )
    seed_ips: tuple[str, ...] = define_setting(
        default="",
        parse=parse_ips,
        accepted="IP addresses with commas between them",
        help="Hosts that may know others.",
    )
    store_address: str = define_setting(
        parse=parse_address, accepted=ADDRESS, help="Address of the platform's store."
    )
    joins_running_hosts: bool = define_setting(
        default="false",
        parse=parse_boolean,
        accepted="true or false",
        help="Whether other hosts may have served callers before this process started.",
    )
    link_mbps: float = define_setting(
        default="1000",
        parse=parse_number(0.1),
        accepted="a number from 0.1",
        unit="Mbit/s",
        help="Bandwidth of the host's link.",
    )
    memory_mb: float = define_setting(
        default="1024",
        parse=parse_number(1),
        accepted="a number from 1",
        unit="MB",
        help="Memory of the host; bounds what it holds for callers and endpoints.",
    )
    max_descriptors: int = define_setting(
        default="4096",
        parse=parse_integer(1, 1 << 24),
        accepted="a whole number from 1",
        help="Descriptors that the process may open; bounds the connections of callers.",
    )
    stop_seconds: float = define_setting(
        default="30",
        parse=parse_number(0.1, 86400),
        accepted=SECONDS,
        unit="seconds",
        help="Time from the signal to stop until the process is killed.",
    )
    retry_ratio: float = define_setting(
        default="0.1",
        parse=parse_number(0, 100),
        accepted="a number from 0 to 100",
        unit="repeats a request",
        help="Repeated sends allowed for each request.",
    )
    retry_window_seconds: float = define_setting(
        default="10",
        parse=parse_number(0.1, 86400),
        accepted=SECONDS,
        unit="seconds",
        help="Window of the retry budget.",
    )
    retry_allowance: float = define_setting(
        default="10",
        parse=parse_number(0),
        accepted="a number from 0",
        unit="repeats",
        help="Repeated sends allowed in a window besides, all hosts together.",
    )
    expose_share: float | None = define_setting(
        default="",
        parse=parse_optional(parse_number(0, 1)),
        accepted="a number from 0 to 1, or empty",
        help="Part of a service's requests that may go to a version without a verdict; empty for "
        "no roll-outs.",
    )
    expose_slack: float = define_setting(
        default="0",
        parse=parse_number(0),
        accepted="a number from 0",
        unit="requests",
        help="Requests that may go to a version without a verdict beyond that part.",
    )
    rollback_ms: float = define_setting(
        default="5000",
        parse=parse_number(1),
        accepted="a number from 1",
        unit="milliseconds",
        help="Time after which a bad version must get no more requests.",
    )

    def find_changes(self, other: "GatewaySettings") -> tuple[str, ...]:
        """Return the names of the settings that differ.

        :param other: other settings.
        """
        names = [field.name for field in attrs.fields(GatewaySettings)]
        return tuple(name for name in names if getattr(self, name) != getattr(other, name))
