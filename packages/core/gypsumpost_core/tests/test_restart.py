"""Tests of restarting a generation from its first token."""

import pytest

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.generations.batch_outcome import BatchOutcome
from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.token_batch import TokenBatch
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.model_ref import ModelRef

MODEL = ModelRef(model="summary", version="1", adapter="")
ENGINE = Endpoint(
    name="e1",
    kind=EndpointKind.ENGINE,
    address="127.0.0.1:1",
    failure_domain="d1",
    models=(MODEL,),
)


def create_started() -> Generation:
    record = GenerationRecord(
        generation_id="g",
        workspace="w",
        request_id="r",
        kind=GenerationKind.COMPLETION,
        body=b"{}",
        model="summary",
        max_tokens=10,
    )
    generation = Generation(record=record)
    generation.begin_attempt(ENGINE, MODEL)
    generation.accept(create_batch(1, 0))
    generation.commit(1)
    return generation


def create_batch(attempt: int, offset: int) -> TokenBatch:
    return TokenBatch(
        attempt=attempt, offset=offset, token_ids=(7,), text="x", prompt_token_ids=(5,)
    )


def test_restart_begins_without_output_and_ignores_the_earlier_attempt():
    """Guards against an answer that mixes output from before and after a restart."""
    generation = create_started().restart()
    assert (generation.record.length, generation.committed) == (0, 0)
    plan = generation.begin_attempt(ENGINE, MODEL)
    assert (plan.attempt, plan.prompt_token_ids, plan.max_tokens) == (2, None, 10)
    assert generation.accept(create_batch(1, 1)) is BatchOutcome.STALE
    assert generation.accept(create_batch(2, 0)) is BatchOutcome.ACCEPTED
    assert generation.record.list_token_ids() == [7]


@pytest.mark.parametrize("taken_over", [False, True])
def test_restart_after_output_was_released_breaks_an_invariant(taken_over):
    """Guards against a reader receiving the start of one answer and the end of another."""
    generation = create_started()
    if taken_over:
        generation = Generation(record=generation.record)
    else:
        assert generation.read_pieces(0)
    with pytest.raises(BrokenInvariant, match="one-generation"):
        generation.restart()
