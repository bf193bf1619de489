"""A streaming client that reads slowly or drops its connections."""

import attrs
import httpcore
import trio

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.answer_client import AnswerClient
from gypsumpost_cli.connection import ConnectionEnd


@attrs.define(kw_only=True)
class SoakClient(AnswerClient):
    """An answer client that reads slowly or drops its own connections.

    :param drop_after: for each of the first connections, seconds after which it is dropped.
    :param pause: seconds between two reads.
    """

    drop_after: list[float] = attrs.field(factory=list)
    pause: float = 0.0

    async def _read_events(self, answer: Answer, response: httpcore.Response) -> ConnectionEnd:
        if not self.drop_after:
            return await super()._read_events(answer, response)
        with trio.move_on_after(self.drop_after.pop(0)):
            return await super()._read_events(answer, response)
        return ConnectionEnd.DROPPED

    async def _wait_between_chunks(self) -> None:
        if self.pause:
            await trio.sleep(self.pause)
