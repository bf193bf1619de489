"""Registry of forwarders by kind of request."""

from typing import Protocol

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.gateway.caller_call import CallerCall
from gypsumpost_daemon.gateway.caller_exchange import CallerExchange


class Forwarder(Protocol):
    """Sends a request to endpoints and returns the answer to the caller."""

    async def forward(self, call: CallerCall, exchange: CallerExchange) -> None:
        """Answer the request; returns once the response is complete or aborted."""
        ...


FORWARDERS: Registry[Forwarder] = Registry(behaviour="forwarder")
"""Forwarders by the value of :class:`gypsumpost_core.gateway.request_kind.RequestKind`."""
