"""Tests of the attempts recorded as origins of an answer's tokens."""

import attrs

from gypsumpost_core.generations.event_id import EventId, parse_event_id
from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.model_ref import ModelRef

MODEL = ModelRef(model="summary")
ENGINE = Endpoint(
    name="e1", kind=EndpointKind.ENGINE, address="", failure_domain="d1", models=(MODEL,)
)


def create_record() -> GenerationRecord:
    return GenerationRecord(
        generation_id="generation",
        workspace="w",
        request_id="r",
        kind=GenerationKind.COMPLETION,
        body=b"{}",
        model="summary",
        max_tokens=100,
        owner_tag="aaa",
    )


def produce(record: GenerationRecord, count: int, new_attempt: bool) -> None:
    generation = Generation(record=record)
    if new_attempt:
        generation.begin_attempt(ENGINE, MODEL)
    for number in range(count):
        offset = record.length - record.attempt_base
        generation.accept(
            TokenBatch(
                attempt=record.attempt,
                offset=offset,
                token_ids=(number,),
                text="x",
                prompt_token_ids=(1,) if offset == 0 else None,
            )
        )


def take_over(record: GenerationRecord, tag: str) -> GenerationRecord:
    return attrs.evolve(
        record,
        owner_tag=tag,
        epoch=record.epoch + 1,
        pieces=list(record.pieces),
        origins=list(record.origins),
    )


def test_owners_with_different_continuations_reject_each_others_offsets() -> None:
    """Guards against an answer mixed from two continuations of the same generation."""
    first = create_record()
    produce(first, 5, new_attempt=True)
    first_owner, second_owner = take_over(first, "bbb"), take_over(first, "ccc")
    produce(first_owner, 3, new_attempt=True)
    produce(second_owner, 3, new_attempt=True)
    for offset in range(1, 6):
        assert first_owner.find_origin(offset) == second_owner.find_origin(offset) == "aaa1"
        assert first_owner.has_prefix("aaa1", offset) and second_owner.has_prefix("aaa1", offset)
    for offset in range(6, 9):
        name = first_owner.find_origin(offset)
        assert first_owner.has_prefix(name, offset)
        assert not second_owner.has_prefix(name, offset)
    assert not first_owner.has_prefix("aaa1", 6)


def test_owner_that_reads_the_same_stream_accepts_later_offsets() -> None:
    """Guards against rejecting offsets whose tokens the engine's open stream will still deliver."""
    first = create_record()
    produce(first, 5, new_attempt=True)
    second = take_over(first, "bbb")
    produce(second, 3, new_attempt=False)
    assert second.find_origin(8) == "aaa1"
    assert first.has_prefix("aaa1", 8) and second.has_prefix("aaa1", 8)


def test_event_id_carries_the_attempt() -> None:
    """Guards against event ids that do not identify the continuation that a caller received."""
    event_id = EventId(
        generation_id="generation", home="d1-host1", copy="-", offset=7, attempt="aaa1"
    )
    assert str(event_id) == "generation.d1-host1_aaa1.-:7"
    assert parse_event_id(str(event_id)) == event_id
