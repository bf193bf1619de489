"""Parser of the platform's host list."""

from collections.abc import Callable
from typing import Any, TypeVar

import orjson
from result import Err, Ok, Result

from gypsumpost_core.host import Host
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.endpoint_status import EndpointStatus
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_core.settings.setting_parsers import (
    parse_address,
    parse_name,
    parse_optional_address,
)
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot
from gypsumpost_daemon.peers.listed_host import ListedHost

T = TypeVar("T")


def parse_host_list(body: bytes) -> Result[HostListSnapshot, str]:
    """Parse the list; malformed entries are skipped and described in ``rejected``.

    :param body: the body of the platform's response.
    """
    try:
        fields = orjson.loads(body)
        hosts, endpoints = fields["hosts"], fields["endpoints"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        return Err(f"the list is malformed: {error!r}")
    if not isinstance(hosts, list) or not isinstance(endpoints, list):
        return Err("the list is malformed: hosts and endpoints must be arrays")
    rejected: list[str] = []
    return Ok(
        HostListSnapshot(
            hosts=_parse_entries(hosts, _parse_host, rejected),
            endpoints=_parse_entries(endpoints, _parse_endpoint, rejected),
            rejected=tuple(rejected),
        )
    )


def _parse_entries(
    entries: list[Any], parse: Callable[[dict[str, Any]], T], rejected: list[str]
) -> tuple[T, ...]:
    parsed = []
    for entry in entries:
        try:
            parsed.append(parse(entry))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            rejected.append(f"{error!r} in {str(entry)[:200]}")
    return tuple(parsed)


def _parse_host(entry: dict[str, Any]) -> ListedHost:
    host = Host(
        host_id=parse_name(entry["id"]),
        failure_domain=parse_name(entry["failure_domain"]),
        peer_address=parse_address(entry["peer_address"]),
        gossip_address=parse_address(entry["gossip_address"]),
        api_address=parse_optional_address(entry.get("api_address", "")),
    )
    return ListedHost(host=host, leaving=_parse_status(entry) is EndpointStatus.LEAVING)


def _parse_endpoint(entry: dict[str, Any]) -> Endpoint:
    return Endpoint(
        name=parse_name(entry["name"]),
        kind=EndpointKind(entry["kind"]),
        address=parse_address(entry["address"]),
        failure_domain=parse_name(entry["failure_domain"]),
        status=_parse_status(entry),
        models=tuple(_parse_model(model) for model in entry.get("models", [])),
        service=_parse_service(entry),
        checks_fencing=_require_type(entry.get("checks_fencing", False), bool),
    )


def _parse_status(entry: dict[str, Any]) -> EndpointStatus:
    return EndpointStatus(entry.get("status", EndpointStatus.LIVE.value))


def _parse_service(entry: dict[str, Any]) -> str:
    if EndpointKind(entry["kind"]) is EndpointKind.ENGINE:
        return ""
    return parse_name(entry["service"])


def _parse_model(entry: Any) -> ModelRef:
    if isinstance(entry, str):
        return ModelRef(model=entry)
    return ModelRef(
        model=_require_type(entry["model"], str),
        version=_require_type(entry.get("version", "1"), str),
        adapter=_require_type(entry.get("adapter", ""), str),
    )


def _require_type(value: Any, expected: type[T]) -> T:
    if not isinstance(value, expected):
        raise ValueError(value)
    return value
