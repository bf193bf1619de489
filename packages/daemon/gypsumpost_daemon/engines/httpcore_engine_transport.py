"""Transport to endpoints, based on httpcore; baseline for the speed of the token path."""

from collections.abc import AsyncIterator, Mapping

import httpcore
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.connection_refusal import is_refusal
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_request import EngineRequest
from gypsumpost_daemon.engines.engine_response import EngineResponse
from gypsumpost_daemon.engines.engine_transport import ENGINE_TRANSPORTS

NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.LocalProtocolError)
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


class HttpcoreEngineResponse:
    """A response received through httpcore.

    Cancelling ``receive`` ends the response, because httpcore then closes the connection.

    :param response: httpcore's response.
    """

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self._pieces: AsyncIterator[bytes] = response.aiter_stream().__aiter__()
        self.status = response.status
        self.headers: Mapping[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }

    async def receive(self) -> bytes:
        """Wait for the next part of the body; empty at the regular end of the body."""
        try:
            return await anext(self._pieces, b"")
        except CONNECTION_ERRORS as error:
            raise ConnectionResetError(str(error)) from error

    async def aclose(self) -> None:
        """Release the connection."""
        with trio.CancelScope(shield=True):
            await self._response.aclose()


@ENGINE_TRANSPORTS.register("httpcore")
class HttpcoreEngineTransport:
    """Sends requests through a connection pool of httpcore."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=None)

    async def send(self, request: EngineRequest) -> Result[EngineResponse, EngineFailure]:
        """Send a request and wait for the response's headers.

        :param request: the request.
        """
        remaining = max(request.deadline - trio.current_time(), 0)
        outgoing = httpcore.Request(
            request.method,
            f"http://{request.address}{request.path}",
            headers=request.create_headers(),
            content=request.body,
            extensions={"timeout": {"connect": remaining}},
        )
        try:
            with trio.move_on_at(request.deadline):
                response = await self._pool.handle_async_request(outgoing)
                return Ok(HttpcoreEngineResponse(response))
        except NOT_SENT_ERRORS as error:
            refused = is_refusal(error)
            return Err(EngineFailure(reason=repr(error), may_have_run=False, refused=refused))
        except CONNECTION_ERRORS as error:
            return Err(EngineFailure(reason=repr(error), may_have_run=True))
        return Err(EngineFailure(reason="no response before the deadline", may_have_run=True))

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._pool.aclose()
