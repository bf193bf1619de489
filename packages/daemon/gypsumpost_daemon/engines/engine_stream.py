"""Stream of events of one generation on an engine."""

from collections.abc import Mapping
from contextlib import ExitStack

from result import Err, Ok, Result

from gypsumpost_daemon.engines.answer_memory import AnswerMemory
from gypsumpost_daemon.engines.engine_event import EngineEvent
from gypsumpost_daemon.engines.engine_event_decoder import decode_event
from gypsumpost_daemon.engines.engine_failure import EngineFailure
from gypsumpost_daemon.engines.engine_response import EngineResponse
from gypsumpost_daemon.engines.event_stream_decoder import EventStreamDecoder


class EngineStream:
    """Reads server-sent events; must be closed with :meth:`aclose`.

    :param response: the engine's response with status 200.
    :param memory: memory of the unfinished answers of endpoints.
    """

    def __init__(self, *, response: EngineResponse, memory: AnswerMemory) -> None:
        self._response = response
        self._receive_bytes = response.receive
        self._decoder = EventStreamDecoder()
        self._decode = self._decoder.feed
        self._close_share = ExitStack()
        self._share = self._close_share.enter_context(memory.open_share())

    @property
    def headers(self) -> Mapping[str, str]:
        """The response's headers by lower-case name."""
        return self._response.headers

    async def receive(self) -> Result[list[EngineEvent], EngineFailure]:
        """Wait for data and return all events that have arrived, at least one.

        The end of the byte stream is a failure, because a complete stream ends with an event whose
        ``done`` is true, and callers stop receiving after that event.
        """
        while True:
            try:
                data = await self._receive_bytes()
                events = [decode_event(payload) for payload in self._decode(data)]
                self._share.resize(self._decoder.buffered)
            except (OSError, ValueError) as error:
                return Err(EngineFailure(reason=str(error), may_have_run=True))
            if events:
                return Ok(events)
            if not data:
                reason = "the engine ended the stream without [DONE]"
                return Err(EngineFailure(reason=reason, may_have_run=True))

    async def aclose(self) -> None:
        """Release the connection; the engine sees a disconnect if the stream has not ended."""
        self._close_share.close()
        await self._response.aclose()
