"""Fixtures for tests of copies: records, batches, generations and a network."""

from types import SimpleNamespace

import attrs
from result import Err, Ok

from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.host import Host
from gypsumpost_daemon.copies.copy_codec import SCHEMA, fill_pieces, fill_record
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_failure import PeerFailure
from gypsumpost_daemon.peers.peer_request import PeerRequest

GENERATION_ID = "generation1"


def create_pieces(text, start=0):
    """Create one piece for each character."""
    return [
        Piece(end=start + number, token_ids=(start + number,), text=character)
        for number, character in enumerate(text, start=1)
    ]


def create_record(text="", **changes):
    fields = {
        "generation_id": GENERATION_ID,
        "workspace": "w1",
        "request_id": "r1",
        "kind": GenerationKind.COMPLETION,
        "body": b"{}",
        "model": "m",
        "max_tokens": 1000,
        "attempt": 1,
        "prompt_token_ids": (7, 8),
        "keep_until": 4e9,
        "pieces": create_pieces(text),
    }
    return GenerationRecord(**(fields | changes))


def encode_batch(opened=(), appended=(), closed=()):
    """Encode a ``CopyBatch``; each append is (generation, epoch, start, text, finish reason)."""
    batch = SCHEMA.CopyBatch.new_message(closed=list(closed))
    for builder, record in zip(batch.init("opened", len(opened)), opened, strict=True):
        fill_record(builder, record)
    for builder, change in zip(batch.init("appended", len(appended)), appended, strict=True):
        generation_id, epoch, start, text, finish = change
        builder.generationId, builder.epoch, builder.finishReason = generation_id, epoch, finish
        fill_pieces(builder.init("pieces"), create_pieces(text, start), end=start)
    return bytes(batch.to_bytes())


async def send(store, owner="owner", **changes):
    """Apply a batch and return the reply's three lists."""
    reply = await store.handle_batch(PeerRequest(host_id=owner, payload=encode_batch(**changes)))
    with SCHEMA.CopyReply.from_bytes(reply) as message:
        return SimpleNamespace(
            stale=list(message.stale),
            missing=list(message.missing),
            refused=list(message.refused),
        )


def get_held(store, generation_id=GENERATION_ID):
    held = store.get(generation_id)
    assert held is not None
    return held


def read_text(record):
    return "".join(piece.text for piece in record.pieces)


@attrs.define
class FakeTask:
    """Generation task that records the notifications about its copies."""

    generation: Generation
    copied: list = attrs.field(factory=list)
    lost: list = attrs.field(factory=list)
    stale: int = 0

    def handle_acknowledged(self, host_id, length):
        self.copied.append((host_id, length))

    def handle_stale(self):
        self.stale += 1

    def handle_holder_lost(self, host_id):
        self.lost.append(host_id)

    def accept(self, text):
        """Append tokens to the generation, one for each character."""
        record = self.generation.record
        for character in text:
            batch = TokenBatch(
                attempt=record.attempt,
                offset=record.length - record.attempt_base,
                token_ids=(record.length + 1,),
                text=character,
            )
            self.generation.accept(batch)


def create_directory(own, *others):
    """Create a directory of live hosts with these ids, each in its own failure domain."""
    hosts = [
        Host(host_id=name, failure_domain=f"d-{name}", peer_address="127.0.0.1:1")
        for name in (own, *others)
    ]
    directory = HostDirectory(own=hosts[0])
    for host in hosts[1:]:
        directory.update(host, live=True)
    return directory


@attrs.define
class FakeNetwork:
    """Passes requests to handlers in this process; a host without a handler is unreachable."""

    own: str
    handlers: dict = attrs.field(factory=dict)

    def add_handler(self, kind, handler):
        self.handlers[self.own, kind] = handler

    async def request(self, host_id, kind, payload, deadline):

        handler = self.handlers.get((host_id, kind))
        if handler is None:
            return Err(PeerFailure(host_id=host_id, reason="unreachable", sent=False))
        return Ok(await handler(PeerRequest(host_id=self.own, payload=payload)))
