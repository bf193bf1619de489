"""Encoding of list updates."""

from pathlib import Path
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.list_change import ListChange
from gypsumpost_core.lists.list_entry import EntryKey, ListEntry
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_update import ListUpdate
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.workspace_plan import WorkspacePlan

SCHEMA = capnp.load(str(Path(__file__).with_name("lists.capnp")))

MAX_WORDS = 2 * 1024 * 1024
"""Read limit of one message in 8-byte words; a frame has at most 16 MiB."""


def encode_update(update: ListUpdate) -> bytes:
    """Encode an update as a packed message.

    :param update: the update.
    """
    changes = [_describe_change(change) for change in update.changes]
    message = SCHEMA.Update.new_message(
        revision=update.revision, storeSeenAt=update.store_seen_at, changes=changes
    )
    if update.snapshot is not None:
        entries: list[ListEntry] = [*update.snapshot.plans.values()]
        entries += update.snapshot.allowances.values()
        change = ListChange(revision=update.snapshot.revision, changed=tuple(entries))
        message.snapshot = _describe_change(change)
    return message.to_bytes_packed()


def decode_update(payload: bytes) -> Result[ListUpdate, str]:
    """Decode an update.

    :param payload: the packed message.
    :returns: the update, or a description of the decoding error.
    """
    try:
        message = SCHEMA.Update.from_bytes_packed(payload, traversal_limit_in_words=MAX_WORDS)
        return Ok(_read_update(message))
    except (capnp.KjException, ValueError) as error:
        return Err(str(error))


def _read_update(message: Any) -> ListUpdate:
    snapshot = None
    if message._has("snapshot"):
        change = _read_change(message.snapshot)
        # The snapshot is encoded as a change to empty lists at the previous revision.
        snapshot = Lists(revision=change.revision - 1).apply(change).unwrap()
    return ListUpdate(
        revision=message.revision,
        store_seen_at=message.storeSeenAt,
        changes=tuple(map(_read_change, message.changes)),
        snapshot=snapshot,
    )


def _describe_change(change: ListChange) -> dict[str, Any]:
    plans = [_describe_plan(e) for e in change.changed if isinstance(e, WorkspacePlan)]
    allowances = [_describe_allowance(e) for e in change.changed if isinstance(e, Allowance)]
    return {
        "revision": change.revision,
        "plans": plans,
        "allowances": allowances,
        "removedPlans": _list_removed(change, ListKind.PLANS),
        "removedAllowances": _list_removed(change, ListKind.ALLOWANCES),
    }


def _list_removed(change: ListChange, kind: ListKind) -> list[str]:
    return [key.name for key in change.removed if key.kind is kind]


def _describe_plan(entry: WorkspacePlan) -> dict[str, Any]:
    keys = [bytes.fromhex(digest) for digest in entry.keys]
    return {"name": entry.name, "plan": entry.plan, "keys": keys}


def _describe_allowance(entry: Allowance) -> dict[str, Any]:
    return {
        "name": entry.name,
        "models": list(entry.models),
        "services": list(entry.services),
        "requestsPerSecond": entry.requests_per_second,
        "tokensPerSecond": entry.tokens_per_second,
        "concurrentGenerations": entry.concurrent_generations,
        "priority": entry.priority,
        "deadlineSeconds": entry.deadline_seconds,
    }


def _read_change(message: Any) -> ListChange:
    plans: list[ListEntry] = [_read_plan(entry) for entry in message.plans]
    allowances: list[ListEntry] = [_read_allowance(entry) for entry in message.allowances]
    removed = [EntryKey(kind=ListKind.PLANS, name=name) for name in message.removedPlans]
    removed += [EntryKey(kind=ListKind.ALLOWANCES, name=name) for name in message.removedAllowances]
    return ListChange(
        revision=message.revision, changed=tuple(plans + allowances), removed=tuple(removed)
    )


def _read_plan(message: Any) -> WorkspacePlan:
    keys = tuple(bytes(digest).hex() for digest in message.keys)
    return WorkspacePlan(name=message.name, plan=message.plan, keys=keys)


def _read_allowance(message: Any) -> Allowance:
    return Allowance(
        name=message.name,
        models=tuple(message.models),
        services=tuple(message.services),
        requests_per_second=message.requestsPerSecond,
        tokens_per_second=message.tokensPerSecond,
        concurrent_generations=message.concurrentGenerations,
        priority=message.priority,
        deadline_seconds=message.deadlineSeconds,
    )
