"""Copies of generations that this daemon holds for others."""

import time
from typing import Any

import attrs
import trio

from gypsumpost_core.generation_record import GenerationRecord
from gypsumpost_core.piece import Piece
from gypsumpost_daemon.copy_codec import SCHEMA, read_pieces, read_record
from gypsumpost_daemon.held_copy import HeldCopy
from gypsumpost_daemon.log import Log
from gypsumpost_daemon.peer_request import PeerRequest

LOG = Log(prefix="copy")
EXPIRY_INTERVAL = 1.0
"""Seconds between searches for copies whose deadline has passed."""

HOLD_AFTER_DEADLINE = 120.0
"""Seconds after the request's deadline for which an unfinished copy is held."""


@attrs.define(kw_only=True)
class CopyStore:
    """Holds copies until they are closed, taken over and expired, or their deadline passes.

    :param max_bytes: most bytes of prompts and answers to hold; beyond it new copies are refused.
    """

    max_bytes: int
    _held: dict[str, HeldCopy] = attrs.field(factory=dict, init=False)

    @property
    def count(self) -> int:
        """Number of held copies."""
        return len(self._held)

    async def run(self) -> None:
        """Drop copies whose deadline has passed, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL)
            now = time.time()
            expired = [i for i, held in self._held.items() if held.record.keep_until < now]
            for generation_id in expired:
                del self._held[generation_id]

    def get(self, generation_id: str) -> HeldCopy | None:
        """Return a held copy.

        :param generation_id: the generation.
        """
        return self._held.get(generation_id)

    def hold(self, record: GenerationRecord, owner: str) -> None:
        """Hold a record, replacing one of a lower epoch.

        :param record: the state.
        :param owner: host id of its owner.
        """
        self._held[record.generation_id] = HeldCopy(record=record, owner=owner)

    async def handle_batch(self, request: PeerRequest) -> bytes:
        """Apply changes of the generations of one owner.

        :param request: a ``CopyBatch`` message.
        """
        stale: list[str] = []
        missing: list[str] = []
        with SCHEMA.CopyBatch.from_bytes(request.payload) as batch:
            for reader in batch.opened:
                self._open(read_record(reader), request.host_id, stale)
            for change in batch.appended:
                self._append(change, request.host_id, stale, missing)
            for generation_id in batch.closed:
                self._close(generation_id, request.host_id)
        reply = SCHEMA.CopyReply.new_message(stale=stale, missing=missing)
        return bytes(reply.to_bytes())

    def take(self, generation_id: str, workspace: str, taker: str) -> GenerationRecord | None:
        """Hand a copy to a daemon that takes the generation over.

        The copy stays until the new owner replaces it or its deadline passes, because the reply
        may be lost.

        :param generation_id: the generation.
        :param workspace: the workspace that asks.
        :param taker: host id of the new owner.
        """
        held = self._held.get(generation_id)
        if held is None or held.record.workspace != workspace:
            return None
        held.record.epoch += 1
        held.owner, held.handed_over = taker, True
        LOG.write(
            "handed over",
            generation_id=generation_id,
            request_id=held.record.request_id,
            epoch=held.record.epoch,
            offset=held.record.length,
            peer=taker,
        )
        return held.record

    def find_new_owner(self, generation_id: str, workspace: str) -> str:
        """Return the host that a generation was handed to from here, empty if there is none.

        Handing the same state to a second host would make two owners, whose answers differ.

        :param generation_id: the generation.
        :param workspace: the workspace that asks.
        """
        held = self._held.get(generation_id)
        if held is None or held.record.workspace != workspace or not held.handed_over:
            return ""
        return held.owner

    def drop(self, generation_id: str) -> None:
        """Drop a copy.

        :param generation_id: the generation.
        """
        self._held.pop(generation_id, None)

    def _open(self, record: GenerationRecord, owner: str, stale: list[str]) -> None:
        held = self._held.get(record.generation_id)
        if held is not None and _is_newer(held, record, owner):
            stale.append(record.generation_id)
        else:
            self.hold(record, owner)

    def _append(self, change: Any, owner: str, stale: list[str], missing: list[str]) -> None:
        generation_id: str = change.generationId
        held = self._held.get(generation_id)
        if held is None:
            missing.append(generation_id)
            return
        if held.record.epoch != change.epoch or held.owner != owner:
            stale.append(generation_id)
            return
        pieces = read_pieces(change.pieces)
        if pieces and not _append_pieces(held.record.pieces, pieces):
            missing.append(generation_id)
            return
        held.record.finish_reason = change.finishReason or None

    def _close(self, generation_id: str, owner: str) -> None:
        held = self._held.get(generation_id)
        if held is not None and held.owner == owner:
            del self._held[generation_id]


def _is_newer(held: HeldCopy, record: GenerationRecord, owner: str) -> bool:
    if held.record.epoch == record.epoch:
        return held.owner != owner
    return held.record.epoch > record.epoch


def _append_pieces(held: list[Piece], pieces: list[Piece]) -> bool:
    # The owner repeats the last piece when a stop sequence cut it after it was copied.
    while held and held[-1].end > pieces[0].start:
        held.pop()
    if (held[-1].end if held else 0) != pieces[0].start:
        return False
    held.extend(pieces)
    return True
