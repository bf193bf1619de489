"""HTTP client for calls to endpoints."""

from collections.abc import Mapping
from typing import Any

import attrs
import orjson
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.engines import h11_engine_transport, httpcore_engine_transport  # noqa: F401
from gypsumpost_daemon.engines.answer_memory import (
    AnswerMemory,
    AnswerShare,
    AnswerTooLongError,
)
from gypsumpost_daemon.engines.engine_answer import EngineAnswer
from gypsumpost_daemon.engines.engine_failure import NOT_RUN_STATUSES, EngineFailure
from gypsumpost_daemon.engines.engine_request import EngineRequest
from gypsumpost_daemon.engines.engine_response import EngineResponse
from gypsumpost_daemon.engines.engine_stream import EngineStream
from gypsumpost_daemon.engines.engine_transport import ENGINE_TRANSPORTS
from gypsumpost_daemon.http.body_buffer import BodyBuffer
from gypsumpost_daemon.http.overload_guard import OverloadGuard

MAX_ANSWER_BYTES = 16 << 20
MAX_REFUSAL_BYTES = 65536
NO_HEADERS: Mapping[str, str] = {}
JSON_TYPE = {"content-type": "application/json"}


class EngineClient:
    """Opens event streams of engines and makes short calls to endpoints.

    :param transport: name of a transport in the registry ``engine-transport``.
    :param guard: counts unfinished answers among all that the host holds.
    """

    def __init__(self, *, transport: str = "h11", guard: OverloadGuard | None = None) -> None:
        self._transport = ENGINE_TRANSPORTS.create(transport)
        self.answer_memory = AnswerMemory(guard=guard)
        """Memory of the unfinished answers of endpoints."""

    async def open(
        self,
        endpoint_address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        deadline: float,
    ) -> Result[EngineStream, EngineFailure]:
        """Open a stream of server-sent events.

        :param endpoint_address: ``ip:port`` of the engine.
        :param path: path with the query.
        :param headers: headers by name.
        :param body: JSON body of a ``POST``; ``None`` sends a ``GET``.
        :param deadline: monotonic time in seconds by which the response headers must have arrived.
        """
        request = EngineRequest(
            address=endpoint_address,
            method="GET" if body is None else "POST",
            path=path,
            headers=headers if body is None else JSON_TYPE | dict(headers),
            body=body or b"",
            deadline=deadline,
        )
        sent = await self._transport.send(request)
        if isinstance(sent, Err):
            return sent
        response = sent.ok_value
        if response.status == 200:
            return Ok(EngineStream(response=response, memory=self.answer_memory))
        read = await self._read_answer(response, deadline, MAX_REFUSAL_BYTES)
        content = read.ok_value.body if isinstance(read, Ok) else b""
        return Err(attrs.evolve(create_refusal(response.status, content), headers=response.headers))

    async def call(self, request: EngineRequest) -> Result[EngineAnswer, EngineFailure]:
        """Make a short call and return the complete response, whatever its status.

        :param request: the request; its deadline applies to the complete response.
        """
        sent = await self._transport.send(request)
        if isinstance(sent, Err):
            return sent
        return await self._read_answer(sent.ok_value, request.deadline, MAX_ANSWER_BYTES)

    async def get_json(
        self,
        endpoint_address: str,
        path: str,
        deadline: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Result[Any, EngineFailure]:
        """Get a JSON document.

        :param endpoint_address: ``ip:port`` of the endpoint.
        :param path: path with the query.
        :param deadline: monotonic time in seconds at which to stop waiting.
        :param headers: headers by name.
        """
        request = EngineRequest(
            address=endpoint_address, method="GET", path=path, headers=headers, deadline=deadline
        )
        return await self._call_json(request)

    async def post_json(
        self,
        endpoint_address: str,
        path: str,
        value: Any,
        deadline: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Result[Any, EngineFailure]:
        """Post a JSON document and return the decoded JSON response, ``None`` if it is empty.

        :param endpoint_address: ``ip:port`` of the endpoint.
        :param path: path with the query.
        :param value: value to send as JSON.
        :param deadline: monotonic time in seconds at which to stop waiting.
        :param headers: headers by name.
        """
        request = EngineRequest(
            address=endpoint_address,
            method="POST",
            path=path,
            headers=JSON_TYPE | dict(headers),
            body=orjson.dumps(value),
            deadline=deadline,
        )
        return await self._call_json(request)

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._transport.aclose()

    async def _read_answer(
        self, response: EngineResponse, deadline: float, limit: int
    ) -> Result[EngineAnswer, EngineFailure]:
        with self.answer_memory.open_share() as share:
            return await read_answer(response, deadline, limit, share)

    async def _call_json(self, request: EngineRequest) -> Result[Any, EngineFailure]:
        called = await self.call(request)
        if isinstance(called, Err):
            return called
        answer = called.ok_value
        if not 200 <= answer.status < 300:
            return Err(create_refusal(answer.status, answer.body[:MAX_REFUSAL_BYTES]))
        try:
            return Ok(orjson.loads(answer.body) if answer.body else None)
        except ValueError as error:
            reason = f"the response is not JSON: {error}"
            return Err(EngineFailure(reason=reason, may_have_run=True))


async def read_answer(
    response: EngineResponse, deadline: float, limit: int, share: AnswerShare
) -> Result[EngineAnswer, EngineFailure]:
    """Read a response to its end and release its connection.

    :param response: the response, after its headers were received.
    :param deadline: monotonic time in seconds at which to stop waiting.
    :param limit: maximum length of the body in bytes.
    :param share: counts the body among all unfinished answers.
    """
    reason = "no complete response before the deadline"
    content = BodyBuffer()
    try:
        with trio.move_on_at(deadline):
            while piece := await response.receive():
                content.append(piece)
                if content.size > limit:
                    raise AnswerTooLongError("the response is too long")
                share.resize(content.size)
            body = content.take()
            return Ok(EngineAnswer(status=response.status, headers=response.headers, body=body))
    except OSError as error:
        reason = str(error)
    finally:
        await response.aclose()
    return Err(EngineFailure(reason=reason, may_have_run=True, status=response.status))


def create_refusal(status: int, body: bytes) -> EngineFailure:
    """Return the failure for a response with an error status.

    :param status: HTTP status code.
    :param body: the response's body.
    """
    may_have_run = status not in NOT_RUN_STATUSES
    reason = f"the endpoint answered {status}"
    return EngineFailure(reason=reason, may_have_run=may_have_run, status=status, body=body)
