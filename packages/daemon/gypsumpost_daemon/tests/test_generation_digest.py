"""Tests of the digest of a generation's request."""

import attrs
import pytest

from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_daemon.generations.generation_digest import compute_request_digest

RECORD = GenerationRecord(
    generation_id="g",
    workspace="w" * 64 + "1",
    request_id="r",
    kind=GenerationKind.COMPLETION,
    body=b"{}",
    model="m",
    max_tokens=1,
)


@pytest.mark.parametrize(
    "changes",
    [{"workspace": "w" * 64 + "2"}, {"kind": GenerationKind.CHAT}, {"body": b"[]"}],
)
def test_generations_of_another_kind_or_workspace_have_another_digest(changes):
    """Guards against a generation that is refused, or joined to another, for an equal body."""
    changed = attrs.evolve(RECORD, **changes)
    assert compute_request_digest(changed) != compute_request_digest(RECORD)


def test_a_retry_has_the_same_digest():
    """Guards against retries of a crash-causing request that are not recognised."""
    retry = attrs.evolve(RECORD, generation_id="g2", request_id="r2", attempt=3)
    assert compute_request_digest(retry) == compute_request_digest(RECORD)
