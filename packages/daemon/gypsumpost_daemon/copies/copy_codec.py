"""Encoding of generation records and new output for transfer between daemons."""

from array import array
from pathlib import Path
from typing import Any

import capnp

from gypsumpost_core.generations.attempt_origin import AttemptOrigin
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.copies.copy_append import CopyAppend

SCHEMA = capnp.load(str(Path(__file__).with_name("copies.capnp")))

PLAIN_FIELDS = {
    "generation_id": "generationId",
    "workspace": "workspace",
    "request_id": "requestId",
    "idempotency_key": "idempotencyKey",
    "body": "body",
    "model": "model",
    "max_tokens": "maxTokens",
    "return_token_ids": "returnTokenIds",
    "stream": "stream",
    "priority": "priority",
    "created_at": "createdAt",
    "deadline": "deadline",
    "keep_until": "keepUntil",
    "epoch": "epoch",
    "attempt": "attempt",
    "attempt_base": "attemptBase",
    "engine": "engine",
    "engine_address": "engineAddress",
    "owner_tag": "ownerTag",
    "stream_id": "streamId",
}
"""Record fields that are copied without conversion, with their names in the schema."""


def fill_pieces(builder: Any, pieces: list[Piece], end: int = 0) -> None:
    """Write pieces into a ``Pieces`` builder.

    :param builder: the builder.
    :param pieces: consecutive pieces.
    :param end: start offset to write if there are no pieces.
    """
    builder.start = pieces[0].start if pieces else end
    if not pieces:
        return
    tokens = array("I")
    for piece in pieces:
        tokens.extend(piece.token_ids)
    builder.tokenIds = tokens.tobytes()
    builder.tokenCounts = array("I", [len(piece.token_ids) for piece in pieces]).tobytes()
    builder.text = "".join(piece.text for piece in pieces)
    builder.textCounts = array("I", [len(piece.text) for piece in pieces]).tobytes()


def read_pieces(reader: Any) -> list[Piece]:
    """Read pieces from a ``Pieces`` reader.

    :param reader: the reader.
    """
    tokens = array("I", reader.tokenIds)
    text = reader.text
    pieces = []
    counts, lengths = array("I", reader.tokenCounts), array("I", reader.textCounts)
    end, token_at, text_at = reader.start, 0, 0
    for count, length in zip(counts, lengths, strict=True):
        end += count
        ids = tuple(tokens[token_at : token_at + count])
        pieces.append(Piece(end=end, token_ids=ids, text=text[text_at : text_at + length]))
        token_at += count
        text_at += length
    return pieces


def fill_append(builder: Any, append: CopyAppend) -> None:
    """Write the new output of one generation into an ``Append`` builder.

    :param builder: the builder.
    :param append: the output.
    """
    builder.generationId = append.generation_id
    builder.epoch = append.epoch
    builder.finishReason = append.finish_reason or ""
    fill_pieces(builder.init("pieces"), append.pieces, end=append.start)


def read_append(reader: Any) -> CopyAppend:
    """Read the new output of one generation from an ``Append`` reader.

    :param reader: the reader.
    """
    return CopyAppend(
        generation_id=reader.generationId,
        epoch=reader.epoch,
        start=reader.pieces.start,
        pieces=read_pieces(reader.pieces),
        finish_reason=reader.finishReason or None,
    )


def fill_record(builder: Any, record: GenerationRecord) -> None:
    """Write a record into a ``Record`` builder.

    :param builder: the builder.
    :param record: the record.
    """
    for name, schema_name in PLAIN_FIELDS.items():
        setattr(builder, schema_name, getattr(record, name))
    builder.kind = record.kind.value
    builder.stop = list(record.stop)
    if record.exact is not None:
        builder.exactModel = record.exact.model
        builder.exactVersion = record.exact.version
        builder.exactAdapter = record.exact.adapter
    builder.promptTokenIds = array("I", record.prompt_token_ids).tobytes()
    fill_pieces(builder.init("pieces"), record.pieces)
    builder.origins = ",".join(f"{origin.name}:{origin.base}" for origin in record.origins)
    builder.finishReason = record.finish_reason or ""


def read_record(reader: Any) -> GenerationRecord:
    """Read a record from a ``Record`` reader.

    :param reader: the reader.
    """
    fields = {name: getattr(reader, schema) for name, schema in PLAIN_FIELDS.items()}
    exact = None
    if reader.exactModel:
        exact = ModelRef(
            model=reader.exactModel, version=reader.exactVersion, adapter=reader.exactAdapter
        )
    return GenerationRecord(
        **fields,
        kind=GenerationKind(reader.kind),
        stop=tuple(reader.stop),
        exact=exact,
        prompt_token_ids=tuple(array("I", reader.promptTokenIds)),
        pieces=read_pieces(reader.pieces),
        origins=[_read_origin(text) for text in reader.origins.split(",") if text],
        finish_reason=reader.finishReason or None,
    )


def _read_origin(text: str) -> AttemptOrigin:
    name, _, base = text.partition(":")
    return AttemptOrigin(name=name, base=int(base))
