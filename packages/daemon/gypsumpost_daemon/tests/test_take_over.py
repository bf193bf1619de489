"""Tests of handing over generations between daemons."""

from types import SimpleNamespace
from typing import Any

import attrs
from result import Ok

from gypsumpost_core.generations.event_id import EventId
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.host import Host
from gypsumpost_daemon.copies.copy_codec import SCHEMA
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.copies.take_over_client import TakeOverClient
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.settings import Settings


def create_record(epoch: int = 1) -> GenerationRecord:
    return GenerationRecord(
        generation_id="g",
        workspace="w",
        request_id="r",
        kind=GenerationKind.COMPLETION,
        body=b"{}",
        model="summary",
        max_tokens=8,
        keep_until=1e12,
        epoch=epoch,
    )


def create_supervisor(copies: CopyStore) -> GenerationSupervisor:
    unused: Any = None
    context: Any = SimpleNamespace(settings=Settings())
    return GenerationSupervisor(
        host_id="home", context=context, copies=copies, take_over_client=unused, access=unused
    )


async def request_take_over(
    supervisor: GenerationSupervisor, new_owner: str, lost_owner: str = ""
) -> Any:
    message = SCHEMA.TakeOver.new_message(generationId="g", workspace="w", lostOwner=lost_owner)
    request = PeerRequest(host_id=new_owner, payload=bytes(message.to_bytes()))
    reply = await supervisor.handle_take_over(request)
    with SCHEMA.TakeOverReply.from_bytes(reply) as answer:
        return answer.found, answer.owner, answer.record.epoch


async def test_state_is_not_handed_to_a_second_owner() -> None:
    """Guards against two owners whose answers mix after concurrent requests (soak seed 1)."""
    copies = CopyStore(max_bytes=1 << 20)
    copies.put(create_record(), "home")
    supervisor = create_supervisor(copies)
    assert await request_take_over(supervisor, "first") == (True, "", 2)
    assert await request_take_over(supervisor, "second") == (False, "first", 0)
    assert await request_take_over(supervisor, "second", lost_owner="first") == (True, "", 3)


@attrs.define
class HomeAndOwner:
    """Network on which the home redirects to the owner, which has the state."""

    asked: list[str] = attrs.field(factory=list)

    async def request(
        self, host_id: str, kind: MessageKind, payload: bytes, deadline: float
    ) -> Ok[bytes]:
        self.asked.append(host_id)
        reply = SCHEMA.TakeOverReply.new_message(found=host_id == "owner", owner="")
        if host_id == "owner":
            reply.record.generationId, reply.record.kind = "g", "completion"
            reply.record.epoch = 5
        else:
            reply.owner = "owner"
        return Ok(bytes(reply.to_bytes()))


async def test_take_over_follows_the_owner_that_a_home_names() -> None:
    """Guards against a lost answer or a second owner after the home handed over a generation."""
    directory = HostDirectory(
        own=Host(host_id="own", failure_domain="d1", peer_address="127.0.0.1:1")
    )
    for name in ("home", "owner"):
        directory.update(
            Host(host_id=name, failure_domain="d1", peer_address="127.0.0.1:1"), live=True
        )
    network: Any = HomeAndOwner()
    client = TakeOverClient(directory=directory, network=network)
    event_id = EventId(generation_id="g", home="home", copy="-", offset=0)
    record = await client.fetch(event_id, "w")
    assert record is not None and record.epoch == 5
    assert network.asked == ["home", "owner"]


async def test_former_owner_of_the_same_epoch_is_rejected() -> None:
    """Guards against two owners appending to the same copy."""
    copies = CopyStore(max_bytes=1 << 20)
    copies.put(create_record(epoch=2), "own")
    batch = SCHEMA.CopyBatch.new_message()
    batch.init("appended", 1)[0].generationId = "g"
    batch.appended[0].epoch = 2
    request = PeerRequest(host_id="other", payload=bytes(batch.to_bytes()))
    with SCHEMA.CopyReply.from_bytes(await copies.handle_batch(request)) as reply:
        assert list(reply.stale) == ["g"]
