"""Tests of requesting takeovers from other daemons."""

import pytest

from gypsumpost_core.generations.event_id import EventId
from gypsumpost_daemon.copies.copy_codec import SCHEMA, fill_record
from gypsumpost_daemon.copies.take_over_client import TakeOverClient
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.tests.copy_fixtures import (
    GENERATION_ID,
    FakeNetwork,
    create_directory,
    create_record,
    read_text,
)

EVENT = EventId(generation_id=GENERATION_ID, home="home", copy="copy", offset=2)


class Holder:
    """Daemon that returns a record, or none."""

    def __init__(self, name, asked, record=None):
        self.name, self.asked, self.record = name, asked, record

    async def handle(self, request):
        with SCHEMA.TakeOver.from_bytes(request.payload) as message:
            self.asked.append((self.name, message.generationId, message.workspace))
        reply = SCHEMA.TakeOverReply.new_message(found=self.record is not None)
        if self.record is not None:
            fill_record(reply.init("record"), self.record)
        return bytes(reply.to_bytes())


def create_client(*holders):
    handlers = {(h.name, MessageKind.TAKE_OVER): h.handle for h in holders}
    return TakeOverClient(
        directory=create_directory("own", "home", "copy"), network=FakeNetwork("own", handlers)
    )


async def fetch_text(client, event_id=EVENT):
    record = await client.fetch(event_id, "w1")
    return record and read_text(record)


async def test_live_home_is_asked_first():
    """Guards against a takeover from a copy that is older than the state on the home."""
    asked: list[tuple[str, ...]] = []
    home = Holder("home", asked, create_record("abc"))
    client = create_client(home, Holder("copy", asked, create_record("ab")))
    assert await fetch_text(client) == "abc"
    assert asked == [("home", GENERATION_ID, "w1")]


async def test_home_considered_dead_is_asked_last():
    """Guards against waiting for the timeout of a dead home."""
    asked: list[tuple[str, ...]] = []
    client = create_client(Holder("home", asked), Holder("copy", asked, create_record("ab")))
    client.directory.update(client.directory.get("home"), live=False)
    assert await fetch_text(client) == "ab"
    assert [name for name, *_ in asked] == ["copy"]


@pytest.mark.parametrize("home", [[], [Holder("home", [])]], ids=["unreachable", "without-it"])
async def test_copy_is_asked_when_the_home_has_no_state(home):
    """Guards against losing an answer although a copy exists."""
    client = create_client(*home, Holder("copy", [], create_record("ab")))
    assert await fetch_text(client) == "ab"


async def test_nothing_is_found_where_nobody_can_be_asked():
    """Guards against requests to the own host or to unknown hosts named in a forged id."""
    assert await fetch_text(create_client()) is None
    unknown = EventId(generation_id=GENERATION_ID, home="own", copy="stranger", offset=2)
    client = create_client(Holder("own", []), Holder("stranger", [], create_record("ab")))
    assert await fetch_text(client, unknown) is None
