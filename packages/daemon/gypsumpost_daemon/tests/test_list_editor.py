"""Tests of storing edits of the lists."""

import trio
import trio.testing
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_core.lists.list_file import format_list, parse_list
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_daemon.lists.edit_outcome import (
    EditAccepted,
    EditConflict,
    EditNotAccepted,
    EditOutcome,
    EditRefused,
    EditUnknown,
)
from gypsumpost_daemon.lists.list_editor import ListEditor
from gypsumpost_daemon.lists.stored_lists import read_history, read_lists

ALLOWANCE = """
[{name}]
requests_per_second = {rate}
tokens_per_second = 1000
concurrent_generations = 10
deadline_seconds = 60
"""


def format_allowances(rates: dict[str, int]) -> str:
    return "".join(ALLOWANCE.format(name=name, rate=rate) for name, rate in rates.items())


async def edit(editor: ListEditor, rates: dict[str, int], base: int) -> EditOutcome:
    text, deadline = format_allowances(rates), trio.current_time() + 5
    return await editor.replace_list(
        ListKind.ALLOWANCES, text, base=base, author="ann", deadline=deadline
    )


async def read_rates(store: ScriptedStore) -> dict[str, float]:
    lists = (await read_lists(store, 0)).unwrap().lists
    return {name: entry.requests_per_second for name, entry in lists.allowances.items()}


EDITS = st.tuples(
    st.dictionaries(st.sampled_from("abc"), st.integers(1, 3), min_size=1),
    st.integers(0, 2),
    st.sampled_from(["", "before", "after"]),
)


@seed(4)
@settings(max_examples=60)
@given(st.lists(st.one_of(EDITS, st.integers(1, 8)), max_size=10))
def test_history_follows_a_sequential_specification(steps: list) -> None:
    """Guards against edits and undos that are applied twice, lost or reported incorrectly."""

    async def run() -> None:
        store = ScriptedStore()
        editor = ListEditor(store=store)
        states: list[dict[str, float]] = [{}]
        for step in steps:
            now = states[-1]
            if isinstance(step, int):
                outcome = await editor.undo(
                    ListKind.ALLOWANCES, step, author="ann", deadline=trio.current_time() + 5
                )
                expected = undo(states, step)
            else:
                rates, lag, fault = step
                base = max(0, len(states) - 1 - lag)
                store.faults = [fault] if fault else []
                outcome = await edit(editor, rates, base)
                store.faults = []
                expected = dict(rates) if base == len(states) - 1 else None
            if expected is None:
                assert isinstance(outcome, EditConflict | EditRefused)
            else:
                if expected != now:
                    states.append(expected)
                assert outcome == EditAccepted(revision=len(states) - 1)
            assert await read_rates(store) == states[-1]
        history = (await read_history(store, 1, 1000, 0)).unwrap()
        assert [record.revision for record in history] == list(range(1, len(states)))

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def undo(states: list[dict[str, float]], revision: int) -> dict[str, float] | None:
    if revision >= len(states):
        return None
    before, after, result = states[revision - 1], states[revision], dict(states[-1])
    for name in before.keys() | after.keys():
        if before.get(name) == after.get(name):
            continue
        if result.get(name) != after.get(name):
            return None
        result.pop(name, None)
        if name in before:
            result[name] = before[name]
    return result


async def test_racing_edits_give_one_winner_and_a_difference(autojump_clock: object) -> None:
    """Guards against accepting conflicting edits of two operators."""
    store = ScriptedStore()
    outcomes: list[EditOutcome] = []

    async def race(rate: int) -> None:
        outcomes.append(await edit(ListEditor(store=store), {"a": rate}, 0))

    async with trio.open_nursery() as nursery:
        for rate in (1, 2, 3):
            nursery.start_soon(race, rate)
    accepted = [outcome for outcome in outcomes if isinstance(outcome, EditAccepted)]
    conflicts = [outcome for outcome in outcomes if isinstance(outcome, EditConflict)]
    assert accepted == [EditAccepted(revision=1)]
    assert len(conflicts) == 2
    assert all("requests_per_second" in conflict.difference for conflict in conflicts)


async def test_unreachable_store_gives_not_accepted_or_unknown(autojump_clock: object) -> None:
    """Guards against reporting 'not accepted' for an edit that may have taken effect."""
    store = ScriptedStore(down=True)
    assert isinstance(await edit(ListEditor(store=store), {"a": 1}, 0), EditNotAccepted)
    store = ScriptedStore(faults=["after"] + ["before"] * 100)
    assert isinstance(await edit(ListEditor(store=store), {"a": 1}, 0), EditUnknown)


async def test_removal_of_an_allowance_in_use_is_refused(autojump_clock: object) -> None:
    """Guards against removing an allowance that a workspace in the other list still uses."""
    editor = ListEditor(store=ScriptedStore())
    await edit(editor, {"a": 1, "b": 1}, 0)
    text = format_list(parse_list(ListKind.PLANS, '[north]\nplan = "a"\n').unwrap())
    plans = await editor.replace_list(
        ListKind.PLANS, text, base=1, author="ann", deadline=trio.current_time() + 5
    )
    assert plans == EditAccepted(revision=2)
    refused = await edit(editor, {"b": 1}, 2)
    assert isinstance(refused, EditRefused)
    assert refused.errors[0].field == "north.plan"
