"""Management of all generations that this daemon owns."""

import secrets
import time
from typing import Any

import attrs
import trio

from gypsumpost_core.failure import Failure
from gypsumpost_core.generations.event_id import NO_HOST, EventId
from gypsumpost_core.generations.generation_record import GenerationRecord
from gypsumpost_core.generations.record_size import measure_record
from gypsumpost_core.generations.replay_budget import ReplayBudget
from gypsumpost_core.invariant import Invariant, require
from gypsumpost_core.routing.model_ref import ModelRef
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.access_control import AccessControl
from gypsumpost_daemon.calls.keyed_lock import KeyedLock
from gypsumpost_daemon.copies.copy_codec import SCHEMA, fill_record
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.copies.take_over_client import TakeOverClient
from gypsumpost_daemon.generations.generation_context import GenerationContext
from gypsumpost_daemon.generations.generation_task import GenerationTask
from gypsumpost_daemon.generations.route_builder import build_route
from gypsumpost_daemon.peers.peer_request import PeerRequest
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="generation")

REVIEW_INTERVAL = 0.5
"""Seconds between reviews of all generations, which drop ended and stop abandoned ones."""

OWNER_TAG_BYTES = 3

ABANDON_SECONDS = 30.0
"""Time after which a running generation without a reader is stopped."""

ABANDONED = Failure(
    status=410,
    code="abandoned",
    message="The generation was stopped because nobody read it.",
    run_state=RunState.RUN,
)


def create_generation_id() -> str:
    """Return a new random id of 24 hexadecimal digits; it cannot be guessed."""
    return secrets.token_hex(12)


@attrs.define(kw_only=True)
class GenerationSupervisor:
    """Starts, finds, hands over and drops generations.

    :param host_id: id of this host.
    :param context: components shared by all generation tasks.
    :param copies: copies held for other daemons.
    :param take_over_client: requests takeovers from other daemons.
    :param access: charges the workspaces' allowances.
    """

    host_id: str
    context: GenerationContext
    copies: CopyStore
    take_over_client: TakeOverClient
    access: AccessControl
    _charged_tokens: dict[str, int] = attrs.field(factory=dict, init=False)
    _tasks: dict[str, GenerationTask] = attrs.field(factory=dict, init=False)
    _replay: ReplayBudget = attrs.field(init=False)
    _recovery_lock: KeyedLock = attrs.field(factory=KeyedLock, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._replay = ReplayBudget(max_bytes=self.context.settings.replay_bytes)

    @property
    def running(self) -> int:
        """Number of generations that have not ended."""
        return sum(not task.ended for task in self._tasks.values())

    def list_running(self) -> list[ModelRef]:
        """Return the model that each running generation uses, except those without an engine."""
        records = [task.record for task in self._tasks.values() if not task.ended]
        return [record.exact for record in records if record.exact is not None]

    @property
    def kept(self) -> int:
        """Number of generations in memory, including ended ones."""
        return len(self._tasks)

    @property
    def unprotected(self) -> int:
        """Number of running generations without a copy on another host."""
        return sum(not task.ended and not task.holders for task in self._tasks.values())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the generation tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(REVIEW_INTERVAL)
                self._review_tasks()

    def start(self, record: GenerationRecord, already_counted: bool = False) -> GenerationTask:
        """Start the task of a generation that is new or was taken over.

        :param record: state of the generation.
        :param already_counted: true if the workspace's allowance already counts the generation as
            running.
        """
        assert self._nursery is not None
        record.owner_tag = secrets.token_hex(OWNER_TAG_BYTES)
        route = build_route(record)
        task = GenerationTask(record=record, route=route, context=self.context)
        self._tasks[record.generation_id] = task
        self._nursery.start_soon(self._run_task, task, already_counted)
        return task

    def find(self, generation_id: str, workspace: str) -> GenerationTask | None:
        """Return a generation that this daemon owns, ``None`` if there is none.

        :param generation_id: the generation.
        :param workspace: the caller's workspace; generations of other workspaces are not returned.
        """
        task = self._tasks.get(generation_id)
        if task is None or task.record.workspace != workspace or task.moved:
            return None
        return task

    async def recover(self, event_id: EventId, workspace: str) -> GenerationTask | None:
        """Find a generation on this daemon or take it over from another one.

        :param event_id: id of the last event that the caller received.
        :param workspace: the caller's workspace.
        :returns: the generation, ``None`` if no daemon has its state.
        """
        # Concurrent requests for the same generation wait, so that it is taken over only once.
        async with self._recovery_lock.hold(event_id.generation_id):
            task = self.find(event_id.generation_id, workspace)
            return task or await self._take_over(event_id, workspace)

    async def _take_over(self, event_id: EventId, workspace: str) -> GenerationTask | None:
        owner = self.copies.find_new_owner(event_id.generation_id, workspace)
        record = await self.take_over_client.fetch(event_id, workspace, owner)
        if record is None:
            record = self.copies.hand_over(event_id.generation_id, workspace, self.host_id)
        if record is None:
            return None
        # The previous owner may resume after a pause; its appends are rejected because their epoch
        # is lower.
        self.copies.put(record, self.host_id)
        require(
            Invariant.OWN_ANSWER,
            record.workspace == workspace,
            (record.generation_id, record.workspace, workspace),
        )
        self.context.metrics.record_takeover()
        LOG.write(
            "taken over",
            generation_id=record.generation_id,
            request_id=record.request_id,
            epoch=record.epoch,
            offset=record.length,
        )
        return self.start(record)

    async def handle_take_over(self, request: PeerRequest) -> bytes:
        """Hand over a generation or its copy to another daemon, or name its new owner.

        :param request: a ``TakeOver`` message.
        """
        with SCHEMA.TakeOver.from_bytes(request.payload) as message:
            generation_id, workspace = message.generationId, message.workspace
            lost_owner = message.lostOwner
        # This host may be taking over the requested generation at the same time.
        async with self._recovery_lock.hold(generation_id):
            reply = self._hand_over(generation_id, workspace, request.host_id, lost_owner)
        return bytes(reply.to_bytes())

    def _hand_over(
        self, generation_id: str, workspace: str, new_owner: str, lost_owner: str
    ) -> Any:
        task = self.find(generation_id, workspace)
        if task is not None and task.failure is None:
            task.stop()
            self.copies.put(task.record, self.host_id)
        owner = self.copies.find_new_owner(generation_id, workspace)
        if owner not in ("", self.host_id, new_owner, lost_owner):
            return SCHEMA.TakeOverReply.new_message(found=False, owner=owner)
        record = self.copies.hand_over(generation_id, workspace, new_owner)
        reply = SCHEMA.TakeOverReply.new_message(found=record is not None)
        if record is not None:
            fill_record(reply.init("record"), record)
        return reply

    def cancel(self, task: GenerationTask, failure: Failure) -> None:
        """Stop a generation and drop its state on this host and its holders.

        :param task: the generation.
        :param failure: error sent to readers.
        """
        task.stop(failure)
        self._drop(task)

    def create_event_id(self, task: GenerationTask, offset: int) -> EventId:
        """Return the id of an event of a generation.

        :param task: the generation.
        :param offset: number of output tokens up to and including this event.
        """
        holder = task.holders[0] if task.holders else NO_HOST
        return EventId(
            generation_id=task.record.generation_id,
            home=self.host_id,
            copy=holder,
            offset=offset,
            attempt=task.record.find_origin(offset),
        )

    def create_local_event_id(self, generation_id: str) -> EventId:
        """Return an event id for a generation whose home and holder are unknown.

        :param generation_id: the generation; it is searched for on this host only.
        """
        return EventId(generation_id=generation_id, home=self.host_id, copy=NO_HOST, offset=0)

    async def _run_task(self, task: GenerationTask, already_counted: bool) -> None:
        record = task.record
        if not task.generation.finished:
            self._charged_tokens[record.generation_id] = record.length
            if not already_counted:
                self.access.start_generation(record)
        await task.run()
        if record.generation_id in self._charged_tokens:
            self._charge_tokens(record)
            del self._charged_tokens[record.generation_id]
            self.access.finish_generation(record)
        if record.generation_id in self._tasks:
            self._replay.add(record.generation_id, measure_record(record))
            self._evict_answers()

    def _charge_tokens(self, record: GenerationRecord) -> None:
        charged = self._charged_tokens.get(record.generation_id)
        if charged is not None and record.length > charged:
            self._charged_tokens[record.generation_id] = record.length
            self.access.charge_tokens(record.workspace, record.length - charged)

    def _review_tasks(self) -> None:
        now = time.time()
        for task in list(self._tasks.values()):
            self._charge_tokens(task.record)
            if task.moved or (task.ended and now > task.record.keep_until):
                self._drop(task)
            elif _is_abandoned(task):
                task.stop(ABANDONED)
            else:
                task.protect_again()
        self._evict_answers()

    def _evict_answers(self) -> None:
        for generation_id in self._replay.choose_evictions(self._is_in_use):
            LOG.write("finished answer dropped, memory limit reached", generation_id=generation_id)
            self._drop(self._tasks[generation_id])

    def _is_in_use(self, generation_id: str) -> bool:
        task = self._tasks[generation_id]
        return task.readers > 0 or not task.ended

    def _drop(self, task: GenerationTask) -> None:
        self._tasks.pop(task.record.generation_id, None)
        self._replay.remove(task.record.generation_id)
        if not task.moved:
            self.copies.drop(task.record.generation_id)
        self.context.copies.remove(task.record.generation_id, task.holders, close=not task.moved)


def _is_abandoned(task: GenerationTask) -> bool:
    if task.ended or task.readers:
        return False
    return trio.current_time() - task.unread_since > ABANDON_SECONDS
