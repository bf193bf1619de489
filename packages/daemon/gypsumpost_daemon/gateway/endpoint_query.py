"""Queries an endpoint on a connection of its own."""

import trio
from result import Err, Ok, Result

from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection, connect
from gypsumpost_daemon.gateway.endpoint_answer import EndpointAnswer
from gypsumpost_daemon.gateway.forwarded_request import ForwardedRequest

REPLY_SECONDS = 0.4
MAX_REPLY_BYTES = 1 << 20
"""A faulty endpoint may send bytes without end."""


async def query_endpoint(
    address: str, path: str, *, body: bytes | None = None
) -> Result[EndpointAnswer, str]:
    """Send a request and return the answer, or why there is none.

    :param address: ``ip:port`` of the endpoint.
    :param path: path of the request.
    :param body: body of a ``POST`` request, ``None`` for a ``GET`` request.
    """
    deadline = trio.current_time() + REPLY_SECONDS
    opened = await connect(address, deadline, fast_chunks=False)
    if isinstance(opened, Err):
        return Err(opened.err_value.reason)
    connection = opened.ok_value
    try:
        return await exchange_query(connection, address, path, deadline, body=body)
    finally:
        connection.close()


async def exchange_query(
    connection: H11EngineConnection,
    address: str,
    path: str,
    deadline: float,
    *,
    body: bytes | None = None,
) -> Result[EndpointAnswer, str]:
    """Send a request on an open connection and return the answer, or why there is none.

    :param connection: the connection, which stays open.
    :param address: ``ip:port`` of the endpoint.
    :param path: path of the request.
    :param deadline: monotonic time in seconds at which to stop waiting.
    :param body: body of a ``POST`` request, ``None`` for a ``GET`` request.
    """
    request = ForwardedRequest(
        method="GET" if body is None else "POST",
        path=path,
        headers=((b"host", address.encode()),),
        body=body or b"",
    )
    try:
        with trio.move_on_at(deadline):
            sent = await connection.send(request)
            if isinstance(sent, Err):
                return Err(sent.err_value.reason)
            reply = await connection.receive_whole_body(MAX_REPLY_BYTES)
            head = sent.ok_value
            return Ok(
                EndpointAnswer(status=head.status_code, headers=list(head.headers), body=reply)
            )
    except OSError as error:
        return Err(str(error))
    return Err("no answer in time")
