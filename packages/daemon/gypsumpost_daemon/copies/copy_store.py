"""Copies of generations that this daemon holds for other daemons."""

import time

import attrs
import trio

from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.generations.record_size import measure_pieces, measure_record
from gypsumpost_daemon.copies.copy_append import CopyAppend
from gypsumpost_daemon.copies.copy_codec import SCHEMA, read_append, read_record
from gypsumpost_daemon.copies.copy_columns import read_columns
from gypsumpost_daemon.copies.copy_refusals import CopyRefusals
from gypsumpost_daemon.copies.held_copy import HeldCopy
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="copy")
EXPIRY_INTERVAL = 1.0
"""Seconds between removals of expired copies."""


@attrs.define(kw_only=True)
class CopyStore:
    """Stores copies until their owner closes them or their retention time ends.

    A copy that was handed over stays until then, too.

    :param max_bytes: maximum number of bytes of bodies, prompts and answers to hold; changes that
        would exceed it are refused.
    """

    max_bytes: int
    _copies: dict[str, HeldCopy] = attrs.field(factory=dict, init=False)
    _bytes: int = attrs.field(default=0, init=False)

    @property
    def count(self) -> int:
        """Number of held copies."""
        return len(self._copies)

    @property
    def held_bytes(self) -> int:
        """Estimated bytes of the held copies."""
        return self._bytes

    async def run(self) -> None:
        """Remove expired copies until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL)
            now = time.time()
            expired = [i for i, held in self._copies.items() if held.record.keep_until < now]
            for generation_id in expired:
                self.drop(generation_id)

    def get(self, generation_id: str) -> HeldCopy | None:
        """Return a held copy, ``None`` if there is none.

        :param generation_id: the generation.
        """
        return self._copies.get(generation_id)

    def put(self, record: GenerationRecord, owner: str) -> None:
        """Store a record in place of an earlier state, even beyond the memory limit.

        The state of a generation that is handed over is already in memory, and dropping it would
        lose the generation if the reply to the new owner is lost.

        :param record: the state.
        :param owner: host id of its owner.
        """
        self.drop(record.generation_id)
        size = measure_record(record)
        self._copies[record.generation_id] = HeldCopy(record=record, owner=owner, size=size)
        self._bytes += size

    async def handle_batch(self, request: PeerRequest) -> bytes:
        """Apply changes to generations of one owner and return a ``CopyReply`` message.

        :param request: a ``CopyBatch`` message.
        """
        refusals = CopyRefusals()
        with SCHEMA.CopyBatch.from_bytes(request.payload) as batch:
            for reader in batch.opened:
                self._open(read_record(reader), request.host_id, refusals)
            for append in read_columns(batch.columns):
                self._append(append, request.host_id, refusals)
            for reader in batch.appended:
                self._append(read_append(reader), request.host_id, refusals)
            for generation_id in batch.closed:
                self._close(generation_id, request.host_id)
        reply = SCHEMA.CopyReply.new_message(**attrs.asdict(refusals))
        return bytes(reply.to_bytes())

    def hand_over(
        self, generation_id: str, workspace: str, new_owner: str
    ) -> GenerationRecord | None:
        """Hand over a copy to the daemon that takes over the generation.

        The copy stays until the new owner replaces or closes it or until it expires, because the
        reply may be lost.

        :param generation_id: the generation.
        :param workspace: workspace of the requesting caller.
        :param new_owner: host id of the new owner.
        :returns: the state, ``None`` if there is no copy for this workspace.
        """
        held = self._copies.get(generation_id)
        if held is None or held.record.workspace != workspace:
            return None
        held.record.epoch += 1
        held.owner, held.handed_over = new_owner, True
        LOG.write(
            "handed over",
            generation_id=generation_id,
            request_id=held.record.request_id,
            epoch=held.record.epoch,
            offset=held.record.length,
            peer=new_owner,
        )
        return held.record

    def find_new_owner(self, generation_id: str, workspace: str) -> str:
        """Return the host to which this daemon handed over a generation, empty if none.

        Handing over the same state to a second host would create two owners, whose answers differ.

        :param generation_id: the generation.
        :param workspace: workspace of the requesting caller.
        """
        held = self._copies.get(generation_id)
        if held is None or held.record.workspace != workspace or not held.handed_over:
            return ""
        return held.owner

    def drop(self, generation_id: str) -> None:
        """Remove a copy; does nothing if there is none.

        :param generation_id: the generation.
        """
        held = self._copies.pop(generation_id, None)
        if held is not None:
            self._bytes -= held.size

    def _open(self, record: GenerationRecord, owner: str, refusals: CopyRefusals) -> None:
        held = self._copies.get(record.generation_id)
        if held is not None and _is_superseded(held, record.epoch, owner):
            refusals.stale.append(record.generation_id)
        elif not self._fits(measure_record(record) - (held.size if held else 0)):
            self._refuse(record, owner, refusals)
        else:
            self.put(record, owner)

    def _append(self, append: CopyAppend, owner: str, refusals: CopyRefusals) -> None:
        held = self._copies.get(append.generation_id)
        if held is None:
            refusals.missing.append(append.generation_id)
        # Concurrent takeovers from the home and from the holder can give two daemons the same
        # epoch.
        elif held.record.epoch != append.epoch or held.owner != owner:
            refusals.stale.append(append.generation_id)
        elif not self._fits(measure_pieces(append.pieces)):
            self._refuse(held.record, owner, refusals)
        elif not self._replace_end(held, append.start, append.pieces):
            refusals.missing.append(append.generation_id)
        else:
            held.record.finish_reason = append.finish_reason

    def _fits(self, growth: int) -> bool:
        return growth <= 0 or self._bytes + growth <= self.max_bytes

    def _refuse(self, record: GenerationRecord, owner: str, refusals: CopyRefusals) -> None:
        # Callers rely on the earlier state, so it stays until the owner closes it.
        refusals.refused.append(record.generation_id)
        LOG.write(
            "copy refused because the memory limit is reached",
            generation_id=record.generation_id,
            request_id=record.request_id,
            peer=owner,
            held_bytes=self._bytes,
            max_bytes=self.max_bytes,
        )

    def _replace_end(self, held: HeldCopy, start: int, pieces: list[Piece]) -> bool:
        held_pieces = held.record.pieces
        # The owner sends pieces again after a lost reply, and the end of the answer if a stop
        # sequence cut it off after it was copied.
        position = len(held_pieces)
        while position and held_pieces[position - 1].end > start:
            position -= 1
        if (held_pieces[position - 1].end if position else 0) != start:
            return False
        growth = measure_pieces(pieces) - measure_pieces(held_pieces[position:])
        held_pieces[position:] = pieces
        held.size += growth
        self._bytes += growth
        return True

    def _close(self, generation_id: str, owner: str) -> None:
        held = self._copies.get(generation_id)
        if held is not None and held.owner == owner:
            self.drop(generation_id)


def _is_superseded(held: HeldCopy, epoch: int, owner: str) -> bool:
    if held.record.epoch == epoch:
        return held.owner != owner
    return held.record.epoch > epoch
