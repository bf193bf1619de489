"""Connections of a caller to the entry hosts."""

import itertools
from typing import Any

import attrs
import httpcore

MAX_CONNECTIONS = 10_000


@attrs.define(kw_only=True)
class EntryPool:
    """A connection pool that selects the entry hosts in round-robin order.

    :param addresses: ``ip:port`` of the entry hosts.
    """

    addresses: list[str]
    connections: httpcore.AsyncConnectionPool = attrs.field(init=False)
    _address_cycle: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._address_cycle = itertools.cycle(self.addresses)
        self.connections = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS, retries=0)

    def create_url(self, path: str) -> str:
        """Return the URL of a path on the next entry host and advance to the host after it.

        :param path: the path.
        """
        return f"http://{next(self._address_cycle)}{path}"

    async def aclose(self) -> None:
        """Close all connections."""
        await self.connections.aclose()
