"""The lifespan part of an ASGI application that needs no start or stop of its own."""

from typing import Any


async def complete_lifespan(receive: Any, send: Any) -> None:
    """Answer the server's start and stop messages.

    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
