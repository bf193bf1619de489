"""Endpoints of a target version that take the requests before the verdict."""

import math
from collections.abc import Iterable

import xxhash

# With fewer endpoints one faulty endpoint cannot be told from a faulty version.
MIN_CANARY_ENDPOINTS = 3


def select_canary_endpoints(
    endpoint_ids: Iterable[str], service: str, share: float, other_endpoints: int
) -> list[str]:
    """Return the endpoints of the target version that take requests at a share.

    They are as many as the old endpoints whose requests they take, so that each has the load of
    an old one: some versions are bad under load only. All hosts select the same endpoints.

    :param endpoint_ids: endpoints of the target version.
    :param service: name of the service.
    :param share: part of the requests that goes to the target version, 0 to 1.
    :param other_endpoints: endpoints of the other versions.
    """
    ranked = sorted(
        endpoint_ids,
        key=lambda endpoint_id: xxhash.xxh3_64_intdigest(f"{service}\0{endpoint_id}".encode()),
    )
    needed = max(MIN_CANARY_ENDPOINTS, math.ceil(share * other_endpoints))
    return ranked[:needed]
