"""Tests of the encoding of records for transfer between daemons."""

import attrs
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.copies.copy_codec import (
    SCHEMA,
    fill_pieces,
    fill_record,
    read_pieces,
    read_record,
)

UNSIGNED = st.integers(0, 2**32 - 1)
TIMES = st.floats(0, 4e9)
CHARACTERS = st.one_of(
    st.characters(max_codepoint=0x7F),
    st.characters(min_codepoint=0x80, max_codepoint=0x7FF),
    st.characters(min_codepoint=0x800, max_codepoint=0xFFFF, exclude_categories=["Cs"]),
    st.characters(min_codepoint=0x10000),
)
TEXTS = st.text(CHARACTERS, max_size=8)


@st.composite
def draw_pieces(draw, start=0):
    pieces = []
    for token_ids, text in draw(
        st.lists(st.tuples(st.lists(UNSIGNED, min_size=1, max_size=4), TEXTS), max_size=6)
    ):
        start += len(token_ids)
        pieces.append(Piece(end=start, token_ids=tuple(token_ids), text=text))
    return pieces


RECORDS = st.builds(
    GenerationRecord,
    generation_id=TEXTS,
    workspace=TEXTS,
    request_id=TEXTS,
    kind=st.sampled_from(GenerationKind),
    body=st.binary(max_size=64),
    model=TEXTS,
    max_tokens=UNSIGNED,
    idempotency_key=TEXTS,
    stop=st.lists(TEXTS, max_size=4).map(tuple),
    return_token_ids=st.booleans(),
    stream=st.booleans(),
    priority=st.integers(-(2**31), 2**31 - 1),
    created_at=TIMES,
    deadline=TIMES,
    keep_until=TIMES,
    epoch=UNSIGNED,
    attempt=UNSIGNED,
    attempt_base=UNSIGNED,
    engine=TEXTS,
    engine_address=TEXTS,
    exact=st.none() | st.builds(ModelRef, model=TEXTS.filter(bool), version=TEXTS, adapter=TEXTS),
    prompt_token_ids=st.lists(UNSIGNED, max_size=8).map(tuple),
    pieces=draw_pieces(),
    finish_reason=st.none() | st.sampled_from(["stop", "length"]),
)


@seed(1)
@settings(deadline=None)
@given(record=RECORDS)
def test_record_survives_the_round_trip(record):
    """Guards against fields lost in a takeover and text split within a character."""
    message = SCHEMA.Record.new_message()
    fill_record(message, record)
    with SCHEMA.Record.from_bytes(bytes(message.to_bytes())) as reader:
        assert attrs.asdict(read_record(reader)) == attrs.asdict(record)


@seed(2)
@settings(deadline=None)
@given(pieces=st.integers(0, 1000).flatmap(draw_pieces), end=UNSIGNED)
def test_pieces_keep_their_place(pieces, end):
    """Guards against changes applied at the wrong offset."""
    message = SCHEMA.Pieces.new_message()
    fill_pieces(message, pieces, end=end)
    with SCHEMA.Pieces.from_bytes(bytes(message.to_bytes())) as reader:
        assert read_pieces(reader) == pieces
        assert reader.start == (pieces[0].start if pieces else end)
