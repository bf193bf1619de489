"""ASGI application that serves the metrics."""

from gypsumpost_daemon.gateway.caller_exchange import CallerExchange
from gypsumpost_daemon.http.asgi_application import Receive, Scope, Send
from gypsumpost_daemon.telemetry.metrics import Metrics
from gypsumpost_daemon.telemetry.metrics_text import CONTENT_TYPE, encode_metrics

PATH = b"/metrics"


class MetricsApplication:
    """Answers scrapes at ``PATH``, and any other path with 404.

    :param metrics: the metrics of the daemon.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request.

        :param scope: ASGI scope.
        :param receive: ASGI ``receive``.
        :param send: ASGI ``send``.
        """
        if scope["type"] != "http":
            return
        exchange = CallerExchange(scope=scope, receive=receive, send=send)
        if await exchange.read_body() is None:
            return
        if exchange.raw_path != PATH:
            await exchange.respond(404, [], b"")
            return
        body = encode_metrics(self._metrics.list_all())
        await exchange.respond(200, [(b"content-type", CONTENT_TYPE.encode())], body)
