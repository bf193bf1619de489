"""Reads the list of hosts and endpoints from a file, for trials without a platform."""

from pathlib import Path
from typing import Any

import orjson

from gypsumpost_core.endpoint import Endpoint
from gypsumpost_core.endpoint_kind import EndpointKind
from gypsumpost_core.endpoint_status import EndpointStatus
from gypsumpost_core.host import Host
from gypsumpost_core.model_ref import ModelRef


def read_host_list(path: str) -> tuple[list[Host], list[Endpoint]]:
    """Read a file of the form of the platform's ``GET /v1/hosts``.

    :param path: path of the file.
    """
    document = orjson.loads(Path(path).read_bytes())
    hosts = [_read_host(item) for item in document["hosts"]]
    return hosts, [_read_endpoint(item) for item in document["endpoints"]]


def _read_host(item: dict[str, Any]) -> Host:
    return Host(
        host_id=item["id"],
        failure_domain=item["failure_domain"],
        peer_address=item["peer_address"],
        gossip_address=item["gossip_address"],
        api_address=item["api_address"],
    )


def _read_endpoint(item: dict[str, Any]) -> Endpoint:
    return Endpoint(
        name=item["name"],
        kind=EndpointKind(item["kind"]),
        address=item["address"],
        failure_domain=item["failure_domain"],
        status=EndpointStatus(item["status"]),
        models=tuple(ModelRef(**model) for model in item.get("models", ())),
        service=item.get("service", ""),
        checks_fencing=item.get("checks_fencing", False),
    )
