"""The ASGI lifespan protocol for applications without startup or shutdown steps."""

from gypsumpost_daemon.http.asgi_application import Receive, Send


async def complete_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's startup and shutdown messages; return after the shutdown.

    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
