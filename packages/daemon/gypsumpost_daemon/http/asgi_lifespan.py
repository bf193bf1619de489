"""The ASGI lifespan protocol for applications that need no start or stop of their own."""

from gypsumpost_daemon.http.asgi_application import Receive, Send


async def complete_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop messages.

    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
