"""A caller with a pace of its own."""

import attrs
import httpcore
import trio

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.answer_client import AnswerClient
from gypsumpost_cli.connection import ConnectionEnd


@attrs.define(kw_only=True)
class SoakClient(AnswerClient):
    """Reads slowly or drops its own connections.

    :param drop_after: seconds after which each of the first connections is dropped.
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
