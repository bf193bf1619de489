"""Decisions about one generation: which output counts, what may be shown, when it ends."""

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

    Output counts only from the current attempt and only in order. Tokens within a character wait
    in ``pending`` until the character is complete; they are discarded when the stream is lost, as
    nobody has seen them.

    :param record: the state, which may come from another daemon.
    """

    def __init__(self, *, record: GenerationRecord) -> None:
        self.record = record
        self.committed = 0
        # A former owner may have shown whatever its copy holds.
        self.shown = bool(record.pieces)
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
        """Output tokens that callers may see: committed and not part of a possible stop match."""
        if self.finished:
            return min(self.committed, self.record.length)
        safe = self.record.pieces[self._safe_pieces - 1].end if self._safe_pieces else 0
        return min(self.committed, safe)

    @property
    def end_committed(self) -> bool:
        """True if the answer has ended and callers may see all of it."""
        return self.finished and self.committed >= self.record.length

    def begin_attempt(self, engine: Endpoint, exact: ModelRef) -> AttemptPlan:
        """Start the next attempt; output of all earlier ones no longer counts.

        :param engine: the chosen engine.
        :param exact: what the engine runs.
        """
        record = self.record
        fits = record.exact is None or not record.pieces or record.exact == exact
        require(Invariant.ONE_GENERATION, fits, (record.generation_id, record.exact, exact))
        self._pending.clear()
        record.attempt += 1
        record.note_origin()
        record.attempt_base = record.length
        # While two owners exist, both may number an attempt alike and choose the same engine.
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
        """Return a generation without output in place of this one, of which nobody saw anything.

        The attempt number stays, so that output of the earlier attempts does not count.
        """
        state = (self.record.generation_id, self.record.length)
        require(Invariant.ONE_GENERATION, not self.shown, state)
        return Generation(
            record=attrs.evolve(self.record, pieces=[], origins=[], finish_reason=None)
        )

    def resume_stream(self) -> int:
        """Prepare to read the current attempt's stream again.

        :returns: the stream offset to ask the engine for.
        """
        self._pending.clear()
        return self.record.length - self.record.attempt_base

    def accept(self, batch: TokenBatch) -> BatchOutcome:
        """Take in output of an engine.

        :param batch: the output.
        """
        if self._is_stale(batch):
            return BatchOutcome.STALE
        if not self._is_in_place(batch):
            return BatchOutcome.LOST
        if batch.prompt_token_ids is not None and not self.record.pieces:
            self.record.prompt_token_ids = batch.prompt_token_ids
        if not self.record.prompt_token_ids:
            return BatchOutcome.LOST
        self._take_tokens(batch)
        if self._pending and (batch.text or batch.finish_reason):
            self._append_piece(batch.text)
        if not self.finished and self._has_ended(batch):
            self._finish(batch.finish_reason or FINISH_LENGTH)
        return BatchOutcome.FINISHED if self.finished else BatchOutcome.ACCEPTED

    def commit(self, length: int) -> None:
        """Note that the state is safe up to a number of output tokens.

        :param length: output tokens that the copies hold.
        """
        require(
            Invariant.WHOLE_ANSWER,
            length <= self.record.length or self.finished,
            (self.record.generation_id, length, self.record.length),
        )
        self.committed = max(self.committed, length)

    def read_pieces(self, start: int) -> list[Piece]:
        """Return the releasable pieces from an offset on.

        :param start: output tokens that the caller has.
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
            self.shown = True
        return pieces

    def has_boundary(self, offset: int) -> bool:
        """Return whether an offset is one that callers can have been shown.

        :param offset: number of output tokens.
        """
        return offset == 0 or any(piece.end == offset for piece in reversed(self.record.pieces))

    def list_pieces_from(self, start: int) -> list[Piece]:
        """Return all pieces from an offset on, whether or not callers may see them.

        :param start: number of output tokens before the first piece.
        """
        found: list[Piece] = []
        for piece in reversed(self.record.pieces):
            if piece.end <= start:
                break
            found.append(piece)
        found.reverse()
        return found

    def _replay_pieces(self) -> None:
        for piece in self.record.pieces:
            match = self._matcher.feed(piece.text)
            self._note_characters(piece.text)
            if match is not None and not self.finished:
                # The former owner was lost before its copy knew that the answer had ended.
                self._trim_to(match)
                self._finish(FINISH_STOP)
                return
        self._advance_safe_pieces()

    def _is_stale(self, batch: TokenBatch) -> bool:
        return batch.attempt != self.record.attempt or self.finished

    def _is_in_place(self, batch: TokenBatch) -> bool:
        return batch.offset == self._compute_stream_offset()

    def _take_tokens(self, batch: TokenBatch) -> None:
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
        self._note_characters(text)
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
        # Callers have seen no piece that reaches beyond the match, so cutting here is safe.
        pieces = self.record.pieces
        while pieces and self._characters - len(pieces[-1].text) >= characters:
            self._characters -= len(pieces.pop().text)
        if pieces and self._characters > characters:
            last = pieces[-1]
            kept = last.text[: len(last.text) - (self._characters - characters)]
            pieces[-1] = attrs.evolve(last, text=kept)
            self._characters = characters

    def _note_characters(self, text: str) -> None:
        self._characters += len(text)
        self._piece_ends.append(self._characters)

    def _advance_safe_pieces(self) -> None:
        safe = self._matcher.safe_length
        while self._safe_pieces < len(self._piece_ends):
            if self._piece_ends[self._safe_pieces] > safe:
                break
            self._safe_pieces += 1
