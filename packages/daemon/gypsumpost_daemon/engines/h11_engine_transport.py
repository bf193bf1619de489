"""Transport to endpoints, based on h11 and plain sockets."""

from collections.abc import Mapping

import h11
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_request import EngineRequest
from gypsumpost_daemon.engines.engine_response import EngineResponse
from gypsumpost_daemon.engines.engine_transport import ENGINE_TRANSPORTS
from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection, connect
from gypsumpost_daemon.engines.idle_connections import IdleConnections

DEADLINE_PASSED = EngineFailure(reason="no response before the deadline", may_have_run=True)


class H11EngineResponse:
    """A response received on an h11 connection.

    :param connection: the connection, after the response's headers were received.
    :param head: status and headers of the response.
    :param address: ``ip:port`` of the endpoint.
    :param idle: pool to which the connection is returned if it can be used again.
    """

    def __init__(
        self,
        *,
        connection: H11EngineConnection,
        head: h11.Response,
        address: str,
        idle: IdleConnections,
    ) -> None:
        self._connection = connection
        self._address = address
        self._idle = idle
        self.status = head.status_code
        self.headers: Mapping[str, str] = {
            name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
        }
        self.receive = connection.receive_body
        """Waits for the next part of the body."""

    async def aclose(self) -> None:
        """Return the connection to the pool if the response was read to its end, else close it."""
        if self._connection.prepare_next_request():
            self._idle.put(self._address, self._connection, trio.current_time())
        else:
            self._connection.close()


@ENGINE_TRANSPORTS.register("h11")
class H11EngineTransport:
    """Opens a connection for each request; only ``GET`` reuses an idle one.

    A request on an idle connection may fail because the endpoint closes the connection at that
    moment. A ``GET`` is then sent again, but for other methods it would be unknown whether the
    endpoint has run the request.
    """

    def __init__(self) -> None:
        self._idle = IdleConnections()

    async def send(self, request: EngineRequest) -> Result[EngineResponse, EngineFailure]:
        """Send a request and wait for the response's headers.

        :param request: the request.
        """
        if request.method == "GET":
            connection = self._idle.take(request.address, trio.current_time())
            if connection is not None:
                answered = await self._send_on(connection, request)
                if isinstance(answered, Ok) or answered.err_value is DEADLINE_PASSED:
                    return answered
        connected = await connect(request.address, request.deadline)
        if isinstance(connected, Err):
            return connected
        return await self._send_on(connected.ok_value, request)

    async def aclose(self) -> None:
        """Close idle connections."""
        self._idle.close()

    async def _send_on(
        self, connection: H11EngineConnection, request: EngineRequest
    ) -> Result[EngineResponse, EngineFailure]:
        response: H11EngineResponse | None = None
        try:
            with trio.move_on_at(request.deadline):
                sent = await connection.send(request)
                if isinstance(sent, Err):
                    return sent
                response = H11EngineResponse(
                    connection=connection,
                    head=sent.ok_value,
                    address=request.address,
                    idle=self._idle,
                )
                return Ok(response)
            return Err(DEADLINE_PASSED)
        finally:
            if response is None:
                connection.close()
