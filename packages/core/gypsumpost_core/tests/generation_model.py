"""Model of a generation with failing engines and owners, for property tests."""

import copy

import attrs

from gypsumpost_core.generations.batch_outcome import BatchOutcome
from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.model_ref import ModelRef

MODEL = ModelRef(model="m")
ENGINE = Endpoint(
    name="e",
    kind=EndpointKind.ENGINE,
    address="127.0.0.1:1",
    failure_domain="d",
    models=(MODEL,),
)
PROMPT = (1, 2, 3)


@attrs.frozen
class Answer:
    """A correct answer: tokens with their bytes; a character may span several tokens."""

    token_ids: tuple[int, ...]
    parts: tuple[bytes, ...]

    def read_text(self, start: int, end: int) -> str:
        """Return the characters that are complete after ``end`` tokens but not after ``start``."""
        return self._decode(end)[len(self._decode(start)) :]

    def _decode(self, end: int) -> str:
        return b"".join(self.parts[:end]).decode(errors="ignore")


def create_answer(seed: int, characters: str, split: bool) -> Answer:
    """Create an answer whose token ids encode its seed and the position of each token."""
    encoded = [character.encode() for character in characters]
    if split:
        encoded = [bytes([byte]) for part in encoded for byte in part]
    ids = tuple(1000 * seed + number for number in range(1, len(encoded) + 1))
    return Answer(ids, tuple(encoded))


@attrs.define
class Stream:
    """Output of one attempt."""

    answer: Answer
    base: int
    at: int = 0


class GenerationModel:
    """Drives one generation and records the pieces that its reader receives.

    :param answers: answers that attempts without earlier output produce, in rotation.
    :param stop: stop sequences.
    """

    def __init__(self, answers: list[Answer], stop: tuple[str, ...]) -> None:
        record = GenerationRecord(
            generation_id="generation1",
            workspace="w1",
            request_id="r1",
            kind=GenerationKind.COMPLETION,
            body=b"{}",
            model="m",
            max_tokens=max(len(answer.token_ids) for answer in answers),
            stop=stop,
        )
        self.generation = Generation(record=record)
        self.released: list[Piece] = []
        self._answers = answers
        self._streams: dict[int, Stream] = {}
        self._copy = copy.deepcopy(record)
        self.begin()

    @property
    def record(self) -> GenerationRecord:
        return self.generation.record

    def begin(self) -> None:
        """Start another attempt; without output so far it produces another answer."""
        if self.generation.finished:
            return
        plan = self.generation.begin_attempt(ENGINE, MODEL)
        base = self.record.length
        answer = self._answers[plan.attempt % len(self._answers)]
        if plan.prompt_token_ids is not None:
            output = plan.prompt_token_ids[len(PROMPT) :]
            assert plan.prompt_token_ids[: len(PROMPT)] == PROMPT
            answer = next(a for a in self._answers if a.token_ids[: len(output)] == output)
            assert base == len(output)
        self._streams[plan.attempt] = Stream(answer, base)

    def resume(self) -> None:
        """Reopen the current attempt's stream after a lost connection."""
        self._streams[self.record.attempt].at = self.generation.resume_stream()

    def deliver(self, count: int) -> None:
        """Deliver the next tokens of the current stream."""
        stream = self._streams[self.record.attempt]
        outcome = self.generation.accept(self._create_batch(self.record.attempt, stream.at, count))
        stream.at += count
        assert outcome in (BatchOutcome.ACCEPTED, BatchOutcome.FINISHED) or self.was_finished(
            outcome
        )

    def was_finished(self, outcome: BatchOutcome) -> bool:
        return outcome is BatchOutcome.STALE and self.generation.finished

    def deliver_stale(self, back: int, offset: int) -> None:
        """Deliver output of an earlier attempt, which must not change the generation."""
        earlier = [attempt for attempt in self._streams if attempt < self.record.attempt]
        if earlier:
            self._deliver_wrong(earlier[-1 - back % len(earlier)], offset, {BatchOutcome.STALE})

    def deliver_misplaced(self, offset: int) -> None:
        """Deliver output of the current attempt at an offset other than the next one."""
        if offset != self._streams[self.record.attempt].at:
            wrong = {BatchOutcome.LOST, BatchOutcome.STALE}
            self._deliver_wrong(self.record.attempt, offset, wrong)

    def save_copy(self) -> None:
        """Copy the state to a holder and commit the output."""
        self._copy = copy.deepcopy(self.record)
        self.generation.commit(self.record.length)

    def take_over(self) -> None:
        """Fail the owner; another owner continues from the copy."""
        known = self._copy.attempt
        if known == 0:
            return
        self.generation = Generation(record=copy.deepcopy(self._copy))
        self._streams = {a: s for a, s in self._streams.items() if a <= known}
        released = self.released[-1].end if self.released else 0
        assert self.generation.finished or self.generation.has_boundary(released)
        self.resume()

    def show(self, count: int) -> None:
        """Deliver tokens, copy them and release them to the reader."""
        self.deliver(count)
        self.save_copy()
        self.read()

    def read(self) -> None:
        """Release the readable pieces to the reader."""
        start = self.released[-1].end if self.released else 0
        self.released.extend(self.generation.read_pieces(start))

    def finish(self) -> None:
        """Run to the end of the answer without failures."""
        self.resume()
        while not self.generation.finished:
            self.deliver(1)
        self.save_copy()
        self.read()

    def _deliver_wrong(self, attempt: int, offset: int, accepted: set[BatchOutcome]) -> None:
        before = list(self.record.pieces)
        assert self.generation.accept(self._create_batch(attempt, offset, 1)) in accepted
        assert self.record.pieces == before

    def _create_batch(self, attempt: int, offset: int, count: int) -> TokenBatch:
        stream = self._streams[attempt]
        start = stream.base + offset
        end = min(start + count, len(stream.answer.token_ids))
        return TokenBatch(
            attempt=attempt,
            offset=offset,
            token_ids=stream.answer.token_ids[start:end],
            text=stream.answer.read_text(start, end),
            prompt_token_ids=PROMPT if offset == 0 else None,
            finish_reason="length" if end == len(stream.answer.token_ids) else None,
        )
