"""All settings of the daemon and their defaults."""

import attrs

from gypsumpost_core.generations.copy_placement import COPY_PLACEMENTS
from gypsumpost_core.generations.resumption_policies import RESUMPTION
from gypsumpost_core.host import Host
from gypsumpost_core.limits.share_mode import SHARE_MODES
from gypsumpost_core.placement.placement_policies import PLACEMENT
from gypsumpost_core.routing.routing_policies import ROUTING
from gypsumpost_core.settings.setting import define_setting
from gypsumpost_core.settings.setting_parsers import (
    parse_address,
    parse_choice,
    parse_integer,
    parse_name,
    parse_number,
    parse_optional_address,
)
from gypsumpost_daemon.callers.workspace_keys import WorkspaceKeys, parse_workspace_keys
from gypsumpost_daemon.credentials.file_setting import define_file
from gypsumpost_daemon.http.http_server import HTTP_SERVERS
from gypsumpost_daemon.peers.host_list_file import parse_host_list_file
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot
from gypsumpost_daemon.peers.seeds_parser import parse_seeds

ADDRESS = "ip:port"
NAME = "letters, digits and hyphens, at most 63"
SEEDS = "empty or comma-separated host_id@failure_domain@peer_address@gossip_address"


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
    adapter: str = define_setting(
        default="",
        accepted="empty, or the name of an importable module",
        help="Adapter of the platform that this host runs on; it then reads all other settings.",
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
    host_list_file: HostListSnapshot = define_setting(
        default="",
        parse=parse_host_list_file,
        accepted="path of a readable file with a correct list, or empty for none",
        help="File with hosts and endpoints for a deployment without a platform.",
    )
    peer_key_file: str = define_file(
        accepted="path of a readable file; empty uses a key that is not secret",
        help="File with the key that all daemons of the deployment share.",
    )
    tls_cert_file: str = define_file(
        accepted="path of a readable PEM file; with --tls-key-file, or empty for plain HTTP",
        help="File with the certificate chain of the callers' listener.",
    )
    tls_key_file: str = define_file(
        accepted="path of a readable PEM file; required with --tls-cert-file",
        help="File with the private key of --tls-cert-file.",
    )
    peer_tls_cert_file: str = define_file(
        accepted="path of a readable PEM file, or empty for plain TCP between daemons",
        help="File with the certificate chain of this host towards other daemons.",
    )
    peer_tls_key_file: str = define_file(
        accepted="path of a readable PEM file; required with --peer-tls-cert-file",
        help="File with the private key of --peer-tls-cert-file.",
    )
    peer_tls_ca_file: str = define_file(
        accepted="path of a readable PEM file; required with --peer-tls-cert-file",
        help="File with the authorities that sign the daemons' certificates.",
    )
    admin_address: str = define_setting(
        default="",
        parse=parse_optional_address,
        accepted="ip:port, or empty for none",
        help="Address of the operators' HTTP listener.",
    )
    admin_key_file: str = define_file(
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
    memory_mb: float = define_setting(
        default="1024",
        parse=parse_number(64),
        unit="MB",
        accepted="a number from 64",
        help="Memory for the daemon; bounds what it holds for callers and endpoints.",
    )
    max_descriptors: int = define_setting(
        default="16384",
        parse=parse_integer(1, 1 << 24),
        accepted="a whole number from 1 to 16777216",
        help="Descriptors that the process may open; bounds the connections of callers.",
    )
    request_deadline: float = define_setting(
        default="900",
        parse=parse_number(1, 86_400),
        unit="seconds",
        accepted="a number from 1 to 86400",
        help="Deadline of a generation whose caller gives none.",
    )
    call_deadline: float = define_setting(
        default="10",
        parse=parse_number(0.1, 3600),
        unit="seconds",
        accepted="a number from 0.1 to 3600",
        help="Deadline of a service call whose caller gives none.",
    )
    call_retention: float = define_setting(
        default="24",
        parse=parse_number(1, 720),
        unit="hours",
        accepted="a number from 1 to 720",
        help="How long the store keeps claims and outcomes of calls for repeats.",
    )
    workspace_keys: WorkspaceKeys = define_setting(
        default="",
        parse=parse_workspace_keys,
        secret=True,
        accepted="workspace=key pairs separated by commas",
        help="Workspaces and their bearer keys for a deployment without a platform.",
    )
    copy_placement: str = define_setting(
        default="other-domain",
        parse=parse_choice(COPY_PLACEMENTS.names()),
        accepted=", ".join(COPY_PLACEMENTS.names()),
        help="Where copies of generations are held.",
    )
    held_bytes: int = define_setting(
        default=str(256 * 1024 * 1024),
        parse=parse_integer(1024 * 1024, 1 << 40),
        unit="bytes",
        accepted="a whole number from 1048576 to 1099511627776",
        help="Most bytes of other daemons' generations to hold.",
    )
    replay_bytes: int = define_setting(
        default=str(256 * 1024 * 1024),
        parse=parse_integer(1024 * 1024, 1 << 40),
        unit="bytes",
        accepted="a whole number from 1048576 to 1099511627776",
        help="Most bytes of finished answers to keep; beyond it the earliest are dropped.",
    )
    routing: str = define_setting(
        default="expected-time",
        parse=parse_choice(ROUTING.names()),
        accepted=", ".join(ROUTING.names()),
        help="Routing policy.",
    )
    placement: str = define_setting(
        default="demand",
        parse=parse_choice(PLACEMENT.names()),
        accepted=", ".join(PLACEMENT.names()),
        help="Policy for what engines have loaded.",
    )
    load_interval: float = define_setting(
        default="10",
        parse=parse_number(0.1, 3600),
        unit="seconds",
        accepted="a number from 0.1 to 3600",
        help="Time between two loads from the weight store by the engines of a failure domain.",
    )
    resumption: str = define_setting(
        default="weighed",
        parse=parse_choice(RESUMPTION.names()),
        accepted=", ".join(RESUMPTION.names()),
        help="Policy for generations whose engine is lost or silent.",
    )
    http_server: str = define_setting(
        default="h11",
        parse=parse_choice(HTTP_SERVERS.names()),
        accepted=", ".join(HTTP_SERVERS.names()),
        help="HTTP server of the callers' interface.",
    )
    engine_transport: str = define_setting(
        default="h11",
        parse=parse_choice(("h11", "httpcore")),
        accepted="h11, httpcore",
        help="HTTP client for engines.",
    )
    stop_deadline: float = define_setting(
        default="900",
        parse=parse_number(0, 86_400),
        unit="seconds",
        accepted="a number from 0 to 86400",
        help="How long a planned stop waits for requests in flight.",
    )
    claim_mode: str = define_setting(
        default="batched",
        parse=parse_choice(("batched", "write-per-call")),
        accepted="batched, write-per-call",
        help="How claims of non-idempotent calls reach the store.",
    )
    share_mode: str = define_setting(
        default="coordinated",
        parse=parse_choice(SHARE_MODES.names()),
        accepted=", ".join(SHARE_MODES.names()),
        help="How allowances are shared between daemons.",
    )
    seeds: tuple[Host, ...] = define_setting(
        default="",
        parse=parse_seeds,
        accepted=SEEDS,
        help="Hosts to contact at the start, besides those on the platform's list.",
    )
    probe_interval: float = define_setting(
        default="0.25",
        parse=parse_number(0.05, 10),
        unit="seconds",
        accepted="a number from 0.05 to 10",
        help="Time between two probes of other hosts.",
    )
    probe_timeout: float = define_setting(
        default="0.1",
        parse=parse_number(0.02, 5),
        unit="seconds",
        accepted="a number from 0.02 to 5",
        help="Time after which an unanswered probe is repeated; a sixth repeat raises a suspicion.",
    )
