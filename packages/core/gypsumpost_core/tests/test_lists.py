"""Tests of the operators' lists."""

import attrs
import pytest
from hypothesis import given, seed
from hypothesis import strategies as st
from result import Err, Ok

from gypsumpost_core.broken_invariant import BrokenInvariant
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.current_lists import CurrentLists
from gypsumpost_core.lists.history_record import HistoryRecord
from gypsumpost_core.lists.list_check import check_lists
from gypsumpost_core.lists.list_difference import compute_difference, format_edits, undo_edits
from gypsumpost_core.lists.list_file import format_list, parse_list
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_lines import ListLines
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.workspace_plan import WorkspacePlan, compute_key_digest

LARGE = Allowance(
    name="large",
    models=("summary",),
    requests_per_second=20,
    tokens_per_second=5000,
    concurrent_generations=40,
    deadline_seconds=120,
)
NAMES = st.sampled_from(["north", "south", "east"])
PLANS = st.dictionaries(NAMES, st.integers(0, 9).map(lambda n: f"plan-{n}"))


def create_lists(plans: dict[str, str]) -> Lists:
    entries = [
        WorkspacePlan(name=n, plan=p, keys=(compute_key_digest(n),)) for n, p in plans.items()
    ]
    return Lists(allowances={"large": LARGE}).replace(ListKind.PLANS, entries)


def record_history(states: list[dict[str, str]]) -> list[HistoryRecord]:
    lists = [create_lists({})] + [create_lists(state) for state in states]
    return [
        HistoryRecord(
            revision=number + 1,
            nonce="",
            author="",
            time=0,
            edits=compute_difference(lists[number], lists[number + 1]),
        )
        for number in range(len(states))
    ]


def test_wrong_adoption_policy_violates_no_revert() -> None:
    """Guards against a policy that accepts the most recently received lists at any revision."""
    current = CurrentLists(policy=lambda current, candidate: True)
    current.adopt(Lists(revision=2))
    with pytest.raises(BrokenInvariant, match="no-revert"):
        current.adopt(Lists(revision=1))


@seed(1)
@given(st.lists(PLANS, max_size=6), st.lists(st.integers(0, 5), max_size=40))
def test_changes_in_any_order_never_revert(states: list[dict[str, str]], order: list[int]) -> None:
    """Guards against lost, repeated or reordered changes that skip or revert a revision."""
    history = record_history(states)
    current = CurrentLists()
    current.adopt(create_lists({}))
    for index in [i for i in order if i < len(history)] + list(range(len(history))):
        before = current.lists.revision
        applied = current.apply(history[index].summarize())
        assert isinstance(applied, Err) == (index + 1 > before + 1)
        expected = states[current.lists.revision - 1] if current.lists.revision else {}
        assert {n: e.plan for n, e in current.lists.plans.items()} == expected
        assert current.lists.revision >= before
    assert current.lists.revision == len(states)


@seed(2)
@given(PLANS, PLANS, PLANS)
def test_undo_restores_or_reports_later_changes(
    first: dict[str, str], second: dict[str, str], third: dict[str, str]
) -> None:
    """Guards against an undo that silently overwrites a later edit."""
    edits = compute_difference(create_lists(first), create_lists(second))
    touched = {edit.key.name for edit in edits}
    undone = undo_edits(edits, create_lists(third))
    if any(second.get(name) != third.get(name) for name in touched):
        assert isinstance(undone, Err)
        return
    expected = {n: p for n, p in third.items() if n not in touched}
    expected |= {n: p for n, p in first.items() if n in touched}
    assert undone.unwrap().plans == create_lists(expected).plans


def test_file_round_trip() -> None:
    """Guards against output of `show` that cannot be applied again."""
    assert parse_list(ListKind.ALLOWANCES, format_list([LARGE])) == Ok([LARGE])
    plan = WorkspacePlan(name="north", plan="large", keys=(compute_key_digest("k"),))
    assert parse_list(ListKind.PLANS, format_list([plan])) == Ok([plan])


def list_faults(kind: ListKind, text: str) -> list[tuple[int, str]]:
    return [(error.line, error.field) for error in parse_list(kind, text).unwrap_err()]


def test_errors_name_line_and_field() -> None:
    """Guards against errors that an operator cannot locate in the file."""
    text = "[small]\nrequests_per_second = -1\ntokens_per_second = true\ncolour = 3\n"
    assert list_faults(ListKind.ALLOWANCES, text) == [
        (4, "small.colour"),
        (2, "small.requests_per_second"),
        (3, "small.tokens_per_second"),
        (1, "small.concurrent_generations"),
        (1, "small.deadline_seconds"),
    ]
    assert list_faults(ListKind.PLANS, '[north]\nplan = "large"\n\n[south]\nkeys = ["x"]') == [
        (4, "south.plan"),
        (5, "south.keys"),
    ]
    assert list_faults(ListKind.PLANS, '[a]\nplan = "x"\n[a]\n') == [(3, "")]
    assert list_faults(ListKind.PLANS, "plan = 1\n") == [(1, "plan")]
    assert list_faults(ListKind.PLANS, "n = " + "1" * 5000) == [(1, "")]
    assert list_faults(ListKind.PLANS, "n = " + "[" * 5000) == [(1, "")]
    assert list_faults(ListKind.PLANS, '["no name"]\nplan = "x"') == [(1, "no name")]


@seed(3)
@given(st.text(max_size=60))
def test_any_text_is_parsed_or_refused(text: str) -> None:
    """Guards against an uploaded file that crashes the daemon."""
    for kind in ListKind:
        parse_list(kind, text)


def test_checks_over_both_lists_name_the_line() -> None:
    """Guards against a plan without allowance and a key used by two workspaces."""
    text = '[north]\nplan = "gone"\nkeys = []\n[south]\nplan = "large"\nkeys = []\n'
    key = (compute_key_digest("k"),)
    entries = [
        WorkspacePlan(name="north", plan="gone", keys=key),
        WorkspacePlan(name="south", plan="large", keys=key),
    ]
    lists = Lists(allowances={"large": LARGE}).replace(ListKind.PLANS, entries)
    faults = [(e.line, e.field) for e in check_lists(lists, ListLines(text=text))]
    assert faults == [(2, "north.plan"), (6, "south.keys")]


def test_find_workspace_and_allowance() -> None:
    """Guards against a removed key that still authenticates."""
    lists = create_lists({"north": "large"})
    assert lists.find_workspace("north") == Ok("north")
    assert lists.find_allowance("north") == LARGE
    assert lists.find_workspace("south").unwrap_err().status == 401
    removed = lists.replace(ListKind.PLANS, [])
    assert removed.find_workspace("north").unwrap_err().status == 401
    assert removed.find_allowance("north") is None


def test_difference_shows_the_changed_field() -> None:
    """Guards against a conflict message that lacks the difference."""
    before = create_lists({})
    after = before.replace(ListKind.ALLOWANCES, [attrs.evolve(LARGE, priority=5)])
    text = format_edits(compute_difference(before, after))
    assert "allowances/large" in text
    assert "-priority = 0\n+priority = 5" in text
