"""State machine of a generation: accepts output, commits it and detects the end of the answer."""

import attrs

from gypsumpost_core.generations.attempt_plan import AttemptPlan
from gypsumpost_core.generations.batch_outcome import BatchOutcome
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.generations.stop_matcher import StopMatcher
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.model_ref import ModelRef

FINISH_STOP = "stop"
FINISH_LENGTH = "length"


class Generation:
    """State machine of a generation.

    Output is accepted only from the current attempt and only in order. Tokens of an incomplete
    character are buffered until the character is complete. The buffer is discarded when the stream
    is lost, as no caller has received these tokens.

    :param record: the state, possibly received from another daemon.
    """

    def __init__(self, *, record: GenerationRecord) -> None:
        self.record = record
        self.committed = 0
        # A previous owner may have sent all pieces of the copy to callers.
        self.released = bool(record.pieces)
        self._pending: list[int] = []
        self._matcher = StopMatcher(stop=record.stop)
        self._characters = 0
        self._piece_ends: list[int] = []
        self._safe_pieces = 0
        self._replay_pieces()

    @property
    def finished(self) -> bool:
        """True if the answer has ended."""
        return self.record.finish_reason is not None

    @property
    def releasable(self) -> int:
        """Number of output tokens that may be sent to callers.

        These tokens are committed and cannot be part of a stop sequence.
        """
        if self.finished:
            return min(self.committed, self.record.length)
        safe = self.record.pieces[self._safe_pieces - 1].end if self._safe_pieces else 0
        return min(self.committed, safe)

    @property
    def end_committed(self) -> bool:
        """True if the answer has ended and all of it may be sent to callers."""
        return self.finished and self.committed >= self.record.length

    def begin_attempt(self, engine: Endpoint, exact: ModelRef) -> AttemptPlan:
        """Start the next attempt; output of earlier attempts is rejected from now on.

        :param engine: the chosen engine.
        :param exact: model version and adapter that the engine runs.
        """
        record = self.record
        fits = record.exact is None or not record.pieces or record.exact == exact
        require(Invariant.ONE_GENERATION, fits, (record.generation_id, record.exact, exact))
        self._pending.clear()
        record.attempt += 1
        record.add_origin()
        record.attempt_base = record.length
        # Two owners can exist for a time, use the same attempt number and choose the same engine;
        # the epoch keeps their stream ids apart.
        record.stream_id = f"{record.generation_id}-{record.epoch}.{record.attempt}"
        record.engine, record.engine_address, record.exact = engine.name, engine.address, exact
        prompt = None
        if record.pieces:
            prompt = (*record.prompt_token_ids, *record.list_token_ids())
        return AttemptPlan(
            attempt=record.attempt,
            stream_id=record.stream_id,
            prompt_token_ids=prompt,
            max_tokens=record.max_tokens - record.length,
        )

    def restart(self) -> "Generation":
        """Return a copy of this generation without output; allowed only before any was released.

        The attempt number is kept, so that output of earlier attempts is rejected.
        """
        state = (self.record.generation_id, self.record.length)
        require(Invariant.ONE_GENERATION, not self.released, state)
        return Generation(
            record=attrs.evolve(self.record, pieces=[], origins=[], finish_reason=None)
        )

    def resume_stream(self) -> int:
        """Prepare to reopen the current attempt's stream.

        :returns: the stream offset to request from the engine.
        """
        self._pending.clear()
        return self.record.length - self.record.attempt_base

    def accept(self, batch: TokenBatch) -> BatchOutcome:
        """Append output of an engine if it is the next output of the current attempt.

        :param batch: the output.
        """
        if self._is_stale(batch):
            return BatchOutcome.STALE
        if not self._has_expected_offset(batch):
            return BatchOutcome.LOST
        if batch.prompt_token_ids is not None and not self.record.pieces:
            self.record.prompt_token_ids = batch.prompt_token_ids
        if not self.record.prompt_token_ids:
            return BatchOutcome.LOST
        self._buffer_tokens(batch)
        if self._pending and (batch.text or batch.finish_reason):
            self._append_piece(batch.text)
        if not self.finished and self._has_ended(batch):
            self._finish(batch.finish_reason or FINISH_LENGTH)
        return BatchOutcome.FINISHED if self.finished else BatchOutcome.ACCEPTED

    def commit(self, length: int) -> None:
        """Mark output as committed, that is, held by all copies.

        :param length: number of output tokens that the copies hold.
        """
        require(
            Invariant.WHOLE_ANSWER,
            length <= self.record.length or self.finished,
            (self.record.generation_id, length, self.record.length),
        )
        self.committed = max(self.committed, length)

    def read_pieces(self, start: int) -> list[Piece]:
        """Return the releasable pieces from an offset on.

        :param start: number of output tokens that the caller has received.
        """
        if start == self.record.length:
            return []
        limit = self.releasable
        pieces = [p for p in self.list_pieces_from(start) if p.end <= limit]
        if pieces:
            require(
                Invariant.WHOLE_ANSWER,
                pieces[0].start == start,
                (self.record.generation_id, start, pieces[0]),
            )
            self.released = True
        return pieces

    def has_boundary(self, offset: int) -> bool:
        """Return whether an offset is 0 or the end of a piece; callers receive only such offsets.

        :param offset: number of output tokens.
        """
        return offset == 0 or any(piece.end == offset for piece in reversed(self.record.pieces))

    def list_pieces_from(self, start: int) -> list[Piece]:
        """Return all pieces from an offset on, including those that are not releasable yet.

        :param start: number of output tokens before the first piece.
        """
        pieces: list[Piece] = []
        for piece in reversed(self.record.pieces):
            if piece.end <= start:
                break
            pieces.append(piece)
        pieces.reverse()
        return pieces

    def _replay_pieces(self) -> None:
        for piece in self.record.pieces:
            match = self._matcher.feed(piece.text)
            self._record_piece_end(piece.text)
            if match is not None and not self.finished:
                # The previous owner failed before the end of the answer reached the copy.
                self._trim_to(match)
                self._finish(FINISH_STOP)
                return
        self._advance_safe_pieces()

    def _is_stale(self, batch: TokenBatch) -> bool:
        return batch.attempt != self.record.attempt or self.finished

    def _has_expected_offset(self, batch: TokenBatch) -> bool:
        return batch.offset == self._compute_stream_offset()

    def _buffer_tokens(self, batch: TokenBatch) -> None:
        record, offset = self.record, self._compute_stream_offset()
        if batch.attempt != record.attempt or batch.offset != offset:
            state = (record.generation_id, batch.attempt, record.attempt, batch.offset, offset)
            require(Invariant.ONE_GENERATION, batch.attempt == record.attempt, state)
            require(Invariant.WHOLE_ANSWER, batch.offset == offset, state)
        self._pending.extend(batch.token_ids)

    def _compute_stream_offset(self) -> int:
        return self.record.length - self.record.attempt_base + len(self._pending)

    def _append_piece(self, text: str) -> None:
        end = self.record.length + len(self._pending)
        piece = Piece(end=end, token_ids=tuple(self._pending), text=text)
        self._pending.clear()
        self.record.pieces.append(piece)
        match = self._matcher.feed(text)
        self._record_piece_end(text)
        if match is not None:
            self._trim_to(match)
            self._finish(FINISH_STOP)
        else:
            self._advance_safe_pieces()

    def _has_ended(self, batch: TokenBatch) -> bool:
        return batch.finish_reason is not None or self.record.length >= self.record.max_tokens

    def _finish(self, reason: str) -> None:
        self.record.finish_reason = reason

    def _trim_to(self, characters: int) -> None:
        # No piece that extends beyond the start of the match was released, so none that a caller
        # has received is changed.
        pieces = self.record.pieces
        while pieces and self._characters - len(pieces[-1].text) >= characters:
            self._characters -= len(pieces.pop().text)
        if pieces and self._characters > characters:
            last = pieces[-1]
            kept = last.text[: len(last.text) - (self._characters - characters)]
            pieces[-1] = attrs.evolve(last, text=kept)
            self._characters = characters

    def _record_piece_end(self, text: str) -> None:
        self._characters += len(text)
        self._piece_ends.append(self._characters)

    def _advance_safe_pieces(self) -> None:
        safe = self._matcher.safe_length
        while self._safe_pieces < len(self._piece_ends):
            if self._piece_ends[self._safe_pieces] > safe:
                break
            self._safe_pieces += 1
