"""Tests of the replication of generations from their owner to the holders."""

from types import SimpleNamespace
from typing import Any, cast

import trio
import trio.testing

from gypsumpost_core.generations.generation import Generation
from gypsumpost_core.generations.record_size import measure_record
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.callers.settings_access import SettingsAccess
from gypsumpost_daemon.copies.copy_client import CopyClient
from gypsumpost_daemon.copies.copy_outbox import CopyOutbox
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.copies.take_over_client import TakeOverClient
from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.generations.route_builder import build_route
from gypsumpost_daemon.limits.admission_gate import AdmissionGate
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.telemetry.metrics import Metrics
from gypsumpost_daemon.tests.copy_fixtures import (
    GENERATION_ID,
    FakeNetwork,
    FakeTask,
    create_directory,
    create_record,
    get_held,
    read_text,
)
from gypsumpost_daemon.tests.test_peer_network import create_host, create_network

BOUND = 1 << 20
BODY = b'{"model":"m","prompt":"x"}'


async def wait_until(condition):
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.005)


def create_task(text: str = "", **changes):
    return FakeTask(Generation(record=create_record(text, **changes)))


def start_outbox(nursery):
    """Start an outbox on the host ``left`` that sends to a store on the host ``right``."""
    store = CopyStore(max_bytes=BOUND)
    network = FakeNetwork("left", serve_stores(right=store))
    outbox = CopyOutbox(host_id="right", network=network)
    nursery.start_soon(outbox.run)
    return store, outbox


async def test_outbox_copies_over_a_real_connection(nursery):
    """Guards against changes lost in batches or on a real connection."""
    left, right = create_host("left"), create_host("right")
    client, server = create_network(left, right, b"k"), create_network(right, left, b"k")
    store = CopyStore(max_bytes=BOUND)
    server.add_handler(MessageKind.APPEND_COPIES, store.handle_batch)
    await nursery.start(client.run)
    await nursery.start(server.run)
    outbox = CopyOutbox(host_id="right", network=client)
    nursery.start_soon(outbox.run)
    task = create_task("a")
    outbox.add(task)
    await wait_until(lambda: task.copied == [("right", 1)])
    task.accept("éß𝄞")
    outbox.mark_changed(GENERATION_ID)
    await wait_until(lambda: task.copied[-1] == ("right", 4))
    assert read_text(get_held(store).record) == "aéß𝄞"
    store.drop(GENERATION_ID)
    task.accept("z")
    outbox.mark_changed(GENERATION_ID)
    await wait_until(lambda: task.copied[-1] == ("right", 5))
    assert read_text(get_held(store).record) == "aéß𝄞z"
    outbox.remove(GENERATION_ID, close=True)
    await wait_until(lambda: store.count == 0)
    nursery.cancel_scope.cancel()


async def test_change_without_tokens_keeps_the_copy(autojump_clock, nursery):
    """Guards against truncating a copy when a batch has no new output of a generation."""
    store, outbox = start_outbox(nursery)
    outbox.add(create_task("ab"))
    for _ in range(2):
        await trio.sleep(1)
        assert read_text(get_held(store).record) == "ab"
        outbox.mark_changed(GENERATION_ID)
    nursery.cancel_scope.cancel()


async def test_owner_is_notified_of_a_takeover(autojump_clock, nursery):
    """Guards against a previous owner that continues a generation after a takeover."""
    store, outbox = start_outbox(nursery)
    task = create_task("a")
    outbox.add(task)
    await trio.sleep(1)
    store.hand_over(GENERATION_ID, "w1", "taker")
    task.accept("b")
    outbox.mark_changed(GENERATION_ID)
    await trio.sleep(1)
    assert task.stale == 1
    assert task.copied == [("right", 1)]
    nursery.cancel_scope.cancel()


async def test_answer_that_a_stop_sequence_empties_is_empty_at_the_holder(autojump_clock, nursery):
    """Guards against releasing the start of a stop sequence after a takeover."""
    store, outbox = start_outbox(nursery)
    task = create_task(stop=("<end>",))
    task.accept("<e")
    outbox.add(task)
    await trio.sleep(1)
    assert read_text(get_held(store).record) == "<e"
    task.accept("nd>")
    outbox.mark_changed(GENERATION_ID)
    await trio.sleep(1)
    held = get_held(store).record
    assert (read_text(held), held.finish_reason) == ("", "stop")
    nursery.cancel_scope.cancel()


class Owner:
    """Daemon whose generation tasks have no engine."""

    def __init__(self, handlers, *peers, **settings):
        self.directory = create_directory("own", *peers)
        self.network = FakeNetwork("own", handlers)
        self.copies = CopyClient(
            directory=self.directory, network=self.network, placement="other-domain"
        )
        self.context = cast(
            Any,
            SimpleNamespace(
                settings=Settings(**settings),
                copies=self.copies,
                metrics=GenerationMetrics(metrics=Metrics()),
                admission=AdmissionGate(
                    router=Router(failure_domain="d1"), directory=self.directory
                ),
            ),
        )
        self.supervisor = GenerationSupervisor(
            host_id="own",
            context=self.context,
            copies=CopyStore(max_bytes=BOUND),
            take_over_client=TakeOverClient(directory=self.directory, network=self.copies.network),
            access=SettingsAccess(keys=Settings().workspace_keys),
        )

    def protect(self, record):
        task = GenerationTask(record=record, route=build_route(record), context=self.context)
        task.protect_again()
        return task

    def describe(self, task):
        return str(self.supervisor.create_event_id(task, task.record.length))


def serve_stores(**stores):
    return {
        (host_id, MessageKind.APPEND_COPIES): store.handle_batch
        for host_id, store in stores.items()
    }


async def test_another_holder_gets_the_whole_record(autojump_clock, nursery):
    """Guards against a new holder that only receives output from after the previous one's loss."""
    stores = {name: CopyStore(max_bytes=BOUND) for name in ("left", "right")}
    owner = Owner(serve_stores(**stores), "left", "right")
    await nursery.start(owner.copies.run)
    task = owner.protect(create_record("abc", body=BODY))
    (first,) = task.holders
    await trio.sleep(1)
    assert read_text(get_held(stores[first]).record) == "abc"
    del owner.network.handlers[(first, MessageKind.APPEND_COPIES)]
    owner.copies.mark_changed(GENERATION_ID, task.holders)
    await trio.sleep(1)
    (second,) = task.holders
    assert second != first
    assert read_text(get_held(stores[second]).record) == "abc"
    assert owner.describe(task) == f"{GENERATION_ID}.own.{second}:3"
    assert task.generation.committed == 3
    nursery.cancel_scope.cancel()


async def test_owner_of_a_refused_copy_chooses_another_holder(autojump_clock, nursery):
    """Guards against output that is never committed because the holder has no memory left."""
    stores = {name: CopyStore(max_bytes=BOUND) for name in ("left", "right")}
    owner = Owner(serve_stores(**stores), "left", "right")
    await nursery.start(owner.copies.run)
    record = create_record("abc", body=BODY)
    (first,) = owner.copies.add(create_task("abc", body=BODY))
    owner.copies.remove(GENERATION_ID, [first], close=False)
    stores[first].max_bytes = 1
    task = owner.protect(record)
    assert task.holders == [first]
    await trio.sleep(1)
    (second,) = task.holders
    assert second != first
    assert stores[first].count == 0
    assert read_text(get_held(stores[second]).record) == "abc"
    nursery.cancel_scope.cancel()


async def test_event_ids_name_no_holder_after_a_refusal(autojump_clock, nursery):
    """Guards against a generation without a copy that stops or still names a holder."""
    owner = Owner(serve_stores(right=CopyStore(max_bytes=1)), "right")
    await nursery.start(owner.copies.run)
    task = owner.protect(create_record("abc", body=BODY))
    assert owner.describe(task) == f"{GENERATION_ID}.own.right:3"
    await trio.sleep(1)
    assert owner.describe(task) == f"{GENERATION_ID}.own.-:3"
    assert task.generation.committed == 3
    nursery.cancel_scope.cancel()


async def test_earliest_finished_answers_are_evicted_beyond_the_limit(autojump_clock, nursery):
    """Guards against finished answers using up the memory until they expire."""
    records = [
        create_record("abc", body=BODY, generation_id=f"generation{n}", finish_reason="stop")
        for n in range(4)
    ]
    owner = Owner({}, replay_bytes=measure_record(records[0]) * 2)
    supervisor = owner.supervisor
    await nursery.start(owner.copies.run)
    await nursery.start(supervisor.run)
    for record in records[:2]:
        supervisor.start(record)
        await trio.sleep(0.01)
    reading = supervisor.find("generation1", "w1")
    assert reading is not None
    reading.readers = 1
    for record in records[2:]:
        supervisor.start(record)
        await trio.sleep(0.01)
    kept = [
        record.generation_id for record in records if supervisor.find(record.generation_id, "w1")
    ]
    assert kept == ["generation1", "generation3"]
    await trio.sleep(Settings().retention + 1)
    nursery.cancel_scope.cancel()
