"""Readiness check for the load balancer."""

from collections.abc import Callable

from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.http.asgi_application import Receive, Scope, Send


class ReadyApplication:
    """Answers 200 while the host is ready, else 503.

    :param is_ready: returns whether the host accepts requests.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request.

        :param scope: ASGI scope.
        :param receive: ASGI ``receive``.
        :param send: ASGI ``send``.
        """
        if scope["type"] != "http":
            return
        exchange = CallerExchange(scope=scope, receive=receive, send=send)
        if await exchange.read_body() is not None:
            await exchange.respond(200 if self._is_ready() else 503, [], b"")
