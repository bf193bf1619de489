"""Slopes of generations: memory of copies and kept answers, cost of copied tokens."""

from functools import partial

import trio

from gypsumpost_bench.experiment_row import ExperimentRow
from gypsumpost_bench.line_fit import create_slope_row, measure_bytes, measure_microseconds
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_daemon.copies.copy_append import CopyAppend
from gypsumpost_daemon.copies.copy_codec import SCHEMA, fill_record, read_record
from gypsumpost_daemon.copies.copy_columns import fill_columns
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.generations.route_builder import build_route
from gypsumpost_daemon.peers.peer_request import PeerRequest

COUNTS = (100, 200, 400, 800)
BATCHES = (10, 50, 100, 200, 400)
TOKENS = 234
"""Mean output tokens of an answer: 8.9 million tokens/s divided by 38,000 requests/s."""

PROMPT_TOKENS = 200
LENGTHS = (100, 200, 400, 800)
REPEATS = 7


def create_record(number: int, tokens: int = TOKENS) -> GenerationRecord:
    """Return a generation record that shares no objects with other records.

    :param number: number in the ids, which makes them unique.
    :param tokens: output tokens.
    """
    return GenerationRecord(
        generation_id=f"{number:024x}",
        workspace="laurentides",
        request_id=f"request-{number:08d}",
        kind=GenerationKind.COMPLETION,
        body=b"{" + b"p" * (4 * PROMPT_TOKENS) + b"}",
        model="summary",
        max_tokens=tokens,
        deadline=1e12,
        keep_until=1e12,
        attempt=1,
        engine="engine-1",
        engine_address="127.0.0.1:9001",
        exact=ModelRef(model="summary", version="1", adapter=""),
        prompt_token_ids=tuple(range(1000, 1000 + PROMPT_TOKENS)),
        pieces=[Piece(end=n + 1, token_ids=(2000 + n,), text=f" {n:4}") for n in range(tokens)],
    )


def measure_generations() -> list[ExperimentRow]:
    """Measure the memory of generations and the cost of copies without sockets."""
    note = f"{PROMPT_TOKENS} prompt and {TOKENS} output tokens, one piece for each token"
    tokens_note = f"{COUNTS[0]} generations"
    return [
        create_slope_row(
            "memory per held copy", "bytes", [(n, _measure_copies(n)) for n in COUNTS], note
        ),
        create_slope_row(
            "memory per kept answer at its home",
            "bytes",
            [(n, trio.run(_measure_answers, n)) for n in COUNTS],
            note,
        ),
        create_slope_row(
            "memory per output token of a held copy",
            "bytes",
            [(n, _measure_copies(COUNTS[0], n) / COUNTS[0]) for n in LENGTHS],
            tokens_note,
        ),
        *_measure_tokens(),
    ]


def _measure_copies(count: int, tokens: int = TOKENS) -> float:
    payloads = [_encode_record(create_record(number, tokens)) for number in range(count)]

    def build() -> CopyStore:
        store = CopyStore(max_bytes=1 << 40)
        for payload in payloads:
            with SCHEMA.Record.from_bytes(payload) as reader:
                store.put(read_record(reader), "home")
        return store

    return measure_bytes(build)


def _encode_record(record: GenerationRecord) -> bytes:
    builder = SCHEMA.Record.new_message()
    fill_record(builder, record)
    return bytes(builder.to_bytes())


async def _measure_answers(count: int) -> float:
    def build() -> list[GenerationTask]:
        return [_create_task(number) for number in range(count)]

    return measure_bytes(build)


def _create_task(number: int) -> GenerationTask:
    record = create_record(number)
    route = build_route(record)
    # Fails with AttributeError: the constructor of GenerationTask reads context.metrics. So the
    # experiment ``slopes`` ends with an error.
    return GenerationTask(record=record, route=route, context=None)  # type: ignore[arg-type]


def _measure_tokens() -> list[ExperimentRow]:
    note = "batch of one new token for each generation, without system calls"
    encoded = [(n, _encode_appends(n, 0)) for n in BATCHES]
    return [
        create_slope_row(
            "bytes per copied token", "bytes", [(n, len(data)) for n, data in encoded], note
        ),
        create_slope_row(
            "processor time to encode a copied token",
            "us",
            [(n, measure_microseconds(partial(_encode_appends, n, 0), REPEATS)) for n in BATCHES],
            note,
        ),
        create_slope_row(
            "processor time to take a copied token",
            "us",
            [(n, _measure_appends(n)) for n in BATCHES],
            note,
        ),
    ]


def _encode_appends(count: int, start: int) -> bytes:
    piece = Piece(end=start + 1, token_ids=(2000,), text=" word")
    appends = [
        CopyAppend(generation_id=f"{number:024x}", epoch=1, start=start, pieces=[piece])
        for number in range(count)
    ]
    batch = SCHEMA.CopyBatch.new_message()
    fill_columns(batch.init("columns"), appends)
    return bytes(batch.to_bytes())


def _measure_appends(count: int) -> float:
    store = CopyStore(max_bytes=1 << 40)
    for number in range(count):
        store.put(create_record(number, 0), "home")
    payloads = iter([_encode_appends(count, start) for start in range(REPEATS)])

    def handle_batch() -> None:
        request = PeerRequest(host_id="home", payload=next(payloads))
        trio.run(store.handle_batch, request)

    return measure_microseconds(handle_batch, REPEATS)
