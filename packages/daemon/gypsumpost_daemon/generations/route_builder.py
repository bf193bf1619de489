"""Builds the routing request of a generation."""

import xxhash

from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.routing.route_request import RouteRequest
from gypsumpost_daemon.generations.generation_digest import compute_request_digest

PREFIX_BLOCK_BYTES = 256
MAX_PREFIX_DIGESTS = 32
BYTES_PER_TOKEN = 4


def build_route(record: GenerationRecord) -> RouteRequest:
    """Return the routing request of a generation.

    :param record: the generation.
    """
    return RouteRequest(
        workspace=record.workspace,
        model=record.model,
        prompt_tokens=len(record.prompt_token_ids) or 1 + len(record.body) // BYTES_PER_TOKEN,
        max_tokens=record.max_tokens,
        prefix_digests=_digest_prefixes(record.body),
        fingerprint=compute_request_digest(record),
        priority=record.priority,
    )


def _digest_prefixes(body: bytes) -> tuple[int, ...]:
    digests = []
    running = xxhash.xxh3_64()
    for start in range(
        0, min(len(body), PREFIX_BLOCK_BYTES * MAX_PREFIX_DIGESTS), PREFIX_BLOCK_BYTES
    ):
        running.update(body[start : start + PREFIX_BLOCK_BYTES])
        digests.append(running.intdigest())
    return tuple(digests)
