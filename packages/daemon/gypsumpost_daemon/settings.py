"""All settings of the daemon and their defaults."""

import attrs
from gypsumpost_core.setting import define_setting
from gypsumpost_core.setting_parsers import (
    parse_address,
    parse_integer,
    parse_name,
    parse_number,
    parse_optional_address,
)

ADDRESS = "ip:port"
NAME = "letters, digits and hyphens, at most 63"


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one daemon.

    Each field is a flag and an environment variable; see ``gypsumpostd --help``.
    """

    host_id: str = define_setting(
        default="host-1", parse=parse_name, accepted=NAME, help="Unique name of this host."
    )
    failure_domain: str = define_setting(
        default="domain-1",
        parse=parse_name,
        accepted=NAME,
        help="Failure domain that this host stands in.",
    )
    api_address: str = define_setting(
        default="127.0.0.1:8080",
        parse=parse_address,
        accepted=ADDRESS,
        help="Address of the callers' HTTP listener.",
    )
    peer_address: str = define_setting(
        default="127.0.0.1:8081",
        parse=parse_address,
        accepted=ADDRESS,
        help="Address of the TCP listener for other daemons.",
    )
    gossip_address: str = define_setting(
        default="127.0.0.1:8082",
        parse=parse_address,
        accepted=ADDRESS,
        help="Address of the UDP socket for membership.",
    )
    platform_address: str = define_setting(
        default="",
        parse=parse_optional_address,
        accepted="ip:port, or empty for none",
        help="Address of the platform's store and list of hosts.",
    )
    peer_key_file: str = define_setting(
        default="",
        accepted="path of a readable file; empty uses a key that is not secret",
        help="File with the key that all daemons of the deployment share.",
    )
    admin_address: str = define_setting(
        default="",
        parse=parse_optional_address,
        accepted="ip:port, or empty for none",
        help="Address of the operators' HTTP listener.",
    )
    admin_key_file: str = define_setting(
        default="",
        accepted="path of a readable file; required with --admin-address",
        help="File with the bearer key of the operators.",
    )
    log_file: str = define_setting(
        default="-",
        accepted="path, or - for standard output",
        help="File to append the structured log to.",
    )
    resume_weight: float = define_setting(
        default="0.8",
        parse=parse_number(0, 1),
        accepted="a number from 0 to 1",
        help="Weight of resume latency (1) against extra resource use (0).",
    )
    retention: float = define_setting(
        default="60",
        parse=parse_number(1, 3600),
        unit="seconds",
        accepted="a number from 1 to 3600",
        help="How long a finished answer is kept for callers that reconnect.",
    )
    max_body: int = define_setting(
        default=str(8 * 1024 * 1024),
        parse=parse_integer(1024, 1 << 30),
        unit="bytes",
        accepted="a whole number from 1024 to 1073741824",
        help="Longest accepted request body.",
    )
