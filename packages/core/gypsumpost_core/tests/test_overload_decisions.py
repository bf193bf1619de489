"""Tests of progress, framing, connections and bounds, without sockets."""

import pytest

from gypsumpost_core.memory.connection_choice import PATIENCE_SECONDS, choose_connection
from gypsumpost_core.memory.connection_entry import ConnectionEntry
from gypsumpost_core.memory.connection_stage import ConnectionStage
from gypsumpost_core.memory.framing_cost import is_costly
from gypsumpost_core.memory.host_bounds import (
    FILE_DESCRIPTORS,
    MEGABYTE,
    compute_held_bytes,
    compute_max_connections,
)
from gypsumpost_core.memory.json_cost import estimate_parsed
from gypsumpost_core.memory.least_progress import LeastProgress


def test_a_caller_with_pauses_makes_progress():
    """Guards against refusing an honest caller that sends 10 KB/s with pauses of a second."""
    progress = LeastProgress(least=10_000, seconds=20.0, now=0.0)
    for second in range(0, 100, 2):
        assert second < progress.deadline
        progress.record(20_000, float(second))


def test_single_bytes_are_no_progress():
    """Guards against a timeout that each byte starts again."""
    progress = LeastProgress(least=10_000, seconds=20.0, now=0.0)
    for second in range(20):
        progress.record(1, float(second))
    assert progress.deadline == 20.0
    progress.excuse(5.0)
    assert progress.deadline == 25.0


@pytest.mark.parametrize(
    ("received", "content", "costly"),
    [(6_000, 1_000, False), (600_000, 100_000, True), (200_000, 100_000, False)],
)
def test_framing_is_costly_from_three_times_the_content(received, content, costly):
    """Guards against refusing small bodies, or chunks of a few bytes."""
    assert is_costly(received, content) is costly


def create_entry(stage, since):
    return ConnectionEntry(stage=stage, progressed_at=since)


def test_unused_connections_are_closed_before_kept_ones():
    """Guards against a crowd of silent connections that takes those of ordinary callers."""
    kept = create_entry(ConnectionStage.IDLE, 0.0)
    unused = create_entry(ConnectionStage.NEW, 10.0)
    reading = create_entry(ConnectionStage.READING, 0.0)
    answering = create_entry(ConnectionStage.ANSWERING, 0.0)
    entries = [answering, reading, kept, unused]
    now = 10.0 + PATIENCE_SECONDS
    order = []
    while (chosen := choose_connection(entries, now)) is not None:
        order.append(chosen)
        entries.remove(chosen)
    assert order == [unused, kept, reading]


def test_a_slow_request_is_kept_before_a_stalled_one():
    """Guards against closing an honest slow caller because its request began first."""
    slow = create_entry(ConnectionStage.READING, 0.0)
    stalled = create_entry(ConnectionStage.READING, 5.0)
    slow.record_progress(10_000, 9.0)
    stalled.record_progress(1, 10.0)
    assert choose_connection([slow, stalled], 10.5) is stalled


def test_a_connection_has_time_to_bring_its_request():
    """Guards against closing the connections of ordinary callers before their requests arrive."""
    entries = [create_entry(stage, 0.0) for stage in (ConnectionStage.NEW, ConnectionStage.READING)]
    assert choose_connection(entries, PATIENCE_SECONDS / 2) is None


def test_the_smallest_machine_has_room_for_ordinary_callers():
    """Guards against defaults that callers within the limits of the pages meet."""
    connections = compute_max_connections(1535)
    assert connections >= 500
    assert compute_held_bytes(152 * MEGABYTE, connections) >= 9 * 4 * MEGABYTE


@pytest.mark.parametrize("descriptors", [0, FILE_DESCRIPTORS, 600])
def test_a_machine_that_is_too_small_still_serves(descriptors):
    """Guards against bounds of zero."""
    assert compute_max_connections(descriptors) >= 64
    assert compute_held_bytes(0, 64) > 0


def test_a_body_of_empty_lists_is_estimated_far_above_its_text():
    """Guards against bodies that are counted by their bytes and take thirty times as objects."""
    assert estimate_parsed(b"[" + b",".join([b"[]"] * 1000) + b"]") > 30 * 3000
    assert estimate_parsed(b'{"prompt":"' + b"some words, and more. " * 1000 + b'"}') < 100_000
