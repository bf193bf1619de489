"""Queue of changes to this daemon's generations for one holder."""

from typing import Any

import attrs
import trio
from result import Err

from gypsumpost_daemon.copies.copied_generation import CopiedGeneration
from gypsumpost_daemon.copies.copy_append import CopyAppend
from gypsumpost_daemon.copies.copy_codec import SCHEMA, fill_append, fill_record
from gypsumpost_daemon.copies.copy_columns import fill_columns
from gypsumpost_daemon.copies.copy_refusals import CopyRefusals
from gypsumpost_daemon.copies.outbox_entry import OutboxEntry
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="copy")

ACKNOWLEDGE_SECONDS = 0.5
"""Timeout of a holder, after which it is considered lost.

Live holders answer within a few milliseconds.
"""

BATCH_INTERVAL = 0.01
"""Minimum seconds between two batches, so that a batch carries tokens of many generations.

Tokens are delayed by up to this interval, except the first ones of a generation.
"""


@attrs.define(kw_only=True)
class CopyOutbox:
    """Sends batches to one holder, each after the previous one was acknowledged.

    :param host_id: the holder.
    :param network: sends the batches.
    """

    host_id: str
    network: PeerChannel
    _entries: dict[str, OutboxEntry] = attrs.field(factory=dict, init=False)
    _changed: dict[str, OutboxEntry] = attrs.field(factory=dict, init=False)
    _closed: list[str] = attrs.field(factory=list, init=False)
    _wake: trio.Event = attrs.field(factory=trio.Event, init=False)
    _urgent: trio.Event = attrs.field(factory=trio.Event, init=False)

    def add(self, task: CopiedGeneration) -> None:
        """Start copying a generation to this holder.

        :param task: the generation.
        """
        generation_id = task.generation.record.generation_id
        self._entries[generation_id] = OutboxEntry(task=task)
        self.mark_changed(generation_id)

    def mark_changed(self, generation_id: str) -> None:
        """Schedule a generation's new state for the next batch.

        :param generation_id: the generation.
        """
        entry = self._entries.get(generation_id)
        # A generation without output is not copied: no caller has received anything, and the
        # prompt's token ids, which a continuation needs, are not known yet.
        # An answer that a stop sequence made empty is still sent if the holder has pieces of it.
        if entry is not None and (entry.task.generation.record.pieces or entry.attempt >= 0):
            self._changed[generation_id] = entry
            self._wake.set()
            if not entry.acknowledged_length:
                self._urgent.set()

    def remove(self, generation_id: str, close: bool) -> None:
        """Stop copying a generation.

        :param generation_id: the generation.
        :param close: true if the holder may drop its copy.
        """
        self._changed.pop(generation_id, None)
        if self._entries.pop(generation_id, None) is not None and close:
            self._closed.append(generation_id)
            self._wake.set()

    async def run(self) -> None:
        """Send batches until cancelled."""
        next_batch_at = 0.0
        while True:
            await self._wake.wait()
            with trio.move_on_at(next_batch_at):
                await self._urgent.wait()
            self._wake, self._urgent = trio.Event(), trio.Event()
            next_batch_at = trio.current_time() + BATCH_INTERVAL
            await self._send_batch()

    async def _send_batch(self) -> None:
        changed, self._changed = self._changed, {}
        closed, self._closed = self._closed, []
        if not changed and not closed:
            return
        for entry in changed.values():
            entry.record_sent()
        payload = _encode_batch(list(changed.values()), closed)
        deadline = trio.current_time() + ACKNOWLEDGE_SECONDS
        reply = await self.network.request(
            self.host_id, MessageKind.APPEND_COPIES, payload, deadline
        )
        if isinstance(reply, Err):
            LOG.write("holder lost", peer=self.host_id, reason=reply.err_value.reason)
            self.drop_all()
            return
        with SCHEMA.CopyReply.from_bytes(reply.ok_value) as message:
            refusals = CopyRefusals(
                stale=list(message.stale),
                missing=list(message.missing),
                refused=list(message.refused),
            )
        self._apply_reply(changed, refusals)

    def _apply_reply(
        self,
        changed: dict[str, OutboxEntry],
        refusals: CopyRefusals,
    ) -> None:
        for generation_id, entry in changed.items():
            if self._entries.get(generation_id) is not entry:
                continue
            if generation_id in refusals.stale:
                self.remove(generation_id, close=False)
                entry.task.handle_stale()
            elif generation_id in refusals.missing:
                entry.attempt = -1
                self.mark_changed(generation_id)
            elif generation_id in refusals.refused:
                self._drop_refused(generation_id, entry)
            elif entry.sent_generation is entry.task.generation:
                # After a restart the task has a new generation, which the holder does not have yet.
                entry.acknowledged_length = entry.sent_length
                entry.task.handle_acknowledged(self.host_id, entry.acknowledged_length)

    def _drop_refused(self, generation_id: str, entry: OutboxEntry) -> None:
        LOG.write("holder refused a copy", peer=self.host_id, generation_id=generation_id)
        self.remove(generation_id, close=True)
        entry.task.handle_holder_lost(self.host_id)

    def drop_all(self) -> None:
        """Stop copying all generations to this holder and report it as lost."""
        entries, self._entries = self._entries, {}
        self._changed.clear()
        for entry in entries.values():
            entry.task.handle_holder_lost(self.host_id)


def _encode_batch(entries: list[OutboxEntry], closed: list[str]) -> bytes:
    opened = [e for e in entries if e.attempt != e.task.generation.record.attempt]
    appended = [e for e in entries if e.attempt == e.task.generation.record.attempt]
    batch = SCHEMA.CopyBatch.new_message(closed=closed)
    records = batch.init("opened", len(opened))
    for position, entry in enumerate(opened):
        record = entry.task.generation.record
        fill_record(records[position], record)
        entry.attempt = record.attempt
    _fill_appends(batch, [_create_append(entry) for entry in appended])
    return bytes(batch.to_bytes())


def _fill_appends(batch: Any, appends: list[CopyAppend]) -> None:
    running = [append for append in appends if append.finish_reason is None]
    ended = [append for append in appends if append.finish_reason is not None]
    fill_columns(batch.init("columns"), running)
    builders = batch.init("appended", len(ended))
    for position, append in enumerate(ended):
        fill_append(builders[position], append)


def _create_append(entry: OutboxEntry) -> CopyAppend:
    generation = entry.task.generation
    record = generation.record
    start = entry.acknowledged_length
    if generation.finished and record.pieces:
        # A stop sequence may have cut off the end of the answer after it was copied.
        start = min(start, record.pieces[-1].start)
    pieces = generation.list_pieces_from(start)
    return CopyAppend(
        generation_id=record.generation_id,
        epoch=record.epoch,
        start=pieces[0].start if pieces else record.length,
        pieces=pieces,
        finish_reason=record.finish_reason,
    )
