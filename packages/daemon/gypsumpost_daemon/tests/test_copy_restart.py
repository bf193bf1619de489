"""Tests of the column encoding of copies, and of copies during a restart of the generation."""

import attrs
import trio
from result import Ok

from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_daemon.copies.copy_append import CopyAppend
from gypsumpost_daemon.copies.copy_codec import SCHEMA
from gypsumpost_daemon.copies.copy_columns import fill_columns, read_columns
from gypsumpost_daemon.copies.copy_outbox import CopyOutbox
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.peers.peer_request import PeerRequest


def create_record(tokens: int) -> GenerationRecord:
    return GenerationRecord(
        generation_id="g",
        workspace="w",
        request_id="r",
        kind=GenerationKind.COMPLETION,
        body=b"{}",
        model="summary",
        max_tokens=10,
        keep_until=1e12,
        attempt=1,
        prompt_token_ids=(1,),
        pieces=[Piece(end=n + 1, token_ids=(n,), text="é") for n in range(tokens)],
    )


@attrs.define(kw_only=True)
class CopiedTask:
    """Generation task that records the acknowledged lengths."""

    generation: Generation
    lengths: list[int] = attrs.field(factory=list)

    def handle_acknowledged(self, host_id: str, length: int) -> None:
        self.lengths.append(length)

    def handle_stale(self) -> None:
        raise AssertionError("the copy was not taken over")

    def handle_holder_lost(self, host_id: str) -> None:
        raise AssertionError("the holder answered")


@attrs.define(kw_only=True)
class DirectNetwork:
    """Passes batches to a store, and calls functions before the reply is returned."""

    store: CopyStore
    before_reply: list = attrs.field(factory=list)

    async def request(self, host_id, kind, payload, deadline):
        reply = await self.store.handle_batch(PeerRequest(host_id="home", payload=payload))
        while self.before_reply:
            self.before_reply.pop()()
        return Ok(reply)


async def run_outbox(task: CopiedTask, network: DirectNetwork, steps) -> None:
    outbox = CopyOutbox(host_id="holder", network=network)  # type: ignore[arg-type]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(outbox.run)
        outbox.add(task)
        await trio.sleep(0.1)
        for step in steps:
            step()
            outbox.mark_changed("g")
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def test_copy_equals_the_record_after_appends(autojump_clock):
    """Guards against copies whose tokens or text differ from what the caller received."""
    task = CopiedTask(generation=Generation(record=create_record(2)))
    pieces = task.generation.record.pieces
    store = CopyStore(max_bytes=1 << 20)
    append = [
        lambda: pieces.append(Piece(end=4, token_ids=(8, 9), text="日本")),
        lambda: pieces.append(Piece(end=5, token_ids=(70_000,), text="z")),
    ]
    await run_outbox(task, DirectNetwork(store=store), append)
    held = store.get("g")
    assert held is not None
    assert held.record.pieces == pieces
    assert task.lengths == [2, 4, 5]


def test_columns_keep_the_appends_of_many_generations_apart():
    """Guards against tokens appended to the copy of another generation."""
    appends = [
        CopyAppend(
            generation_id="a1", epoch=1, start=2, pieces=[Piece(end=4, token_ids=(1, 2), text="é")]
        ),
        CopyAppend(generation_id="b2", epoch=7, start=3, pieces=[]),
        CopyAppend(
            generation_id="c3",
            epoch=2,
            start=0,
            pieces=[
                Piece(end=1, token_ids=(70_000,), text="日本"),
                Piece(end=3, token_ids=(5, 6), text="z"),
            ],
        ),
    ]
    for chosen in ([], appends[:1], appends):
        builder = SCHEMA.AppendColumns.new_message()
        fill_columns(builder, chosen)
        with SCHEMA.AppendColumns.from_bytes(builder.to_bytes()) as reader:
            assert list(read_columns(reader)) == chosen


async def test_end_of_an_answer_reaches_the_copy(autojump_clock):
    """Guards against continuing an answer beyond its end after a takeover."""
    task = CopiedTask(generation=Generation(record=create_record(2)))
    store = CopyStore(max_bytes=1 << 20)

    def finish() -> None:
        record = task.generation.record
        record.pieces[-1] = attrs.evolve(record.pieces[-1], text="")
        record.finish_reason = "stop, by a match"

    await run_outbox(task, DirectNetwork(store=store), [finish])
    held = store.get("g")
    assert held is not None
    assert held.record.finish_reason == "stop, by a match"
    assert held.record.pieces == task.generation.record.pieces


async def test_reply_for_output_before_a_restart_commits_nothing(autojump_clock):
    """Guards against committing tokens when the holder has only the discarded output."""
    task = CopiedTask(generation=Generation(record=create_record(3)))

    def restart() -> None:
        record = create_record(1)
        record.attempt = 2
        task.generation = Generation(record=record)

    store = CopyStore(max_bytes=1 << 20)
    network = DirectNetwork(store=store, before_reply=[restart])
    await run_outbox(task, network, [lambda: None])
    assert task.lengths == [1]
