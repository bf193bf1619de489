"""Tests of ``gypsumpost check`` with the operators' two lists."""

from pathlib import Path

import pytest
import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err

from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_cli.checked_files import CheckedFiles
from gypsumpost_cli.checked_list import check_plans
from gypsumpost_cli.main import run_command
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.workspace_plan import compute_key_digest
from gypsumpost_daemon.lists.edit_outcome import EditAccepted
from gypsumpost_daemon.lists.list_editor import ListEditor

FIRST, SECOND, THIRD = (compute_key_digest(f"key-{number}") for number in (1, 2, 3))
ALLOWANCES = """
[large]
models = ["summary"]
requests_per_second = 20
tokens_per_second = 1000
concurrent_generations = 10
deadline_seconds = 60

[spare]
requests_per_second = 1
tokens_per_second = 1000
concurrent_generations = 10
deadline_seconds = 60
"""
FORMER_PLANS = f"""
[north]
plan = "large"
keys = ["{FIRST}"]

[west]
plan = "spare"
"""
PLANS = f"""
[north]
plan = "small"
keys = ["{SECOND}", "{SECOND}"]

[south]
plan = "large"
keys = ["{SECOND}", "{THIRD}"]

[east]
plan = "large"
"""

VALUES = ['"large"', '"small"', '"a b"', "7", f'["{FIRST}"]', f'["{FIRST[:9]}"]', "[]", "{}", "nan"]
LINES = st.one_of(
    st.sampled_from(["[north]", "[south]", '["x y"]', "[north", "[[south]]", "# text", "\x00"]),
    st.tuples(st.sampled_from(["plan", "keys", "other"]), st.sampled_from(VALUES)).map(" = ".join),
)
SOUND_LINES = [["[north]", 'plan = "large"'], ["[south]", 'plan = "large"', f'keys = ["{FIRST}"]']]
FILES = st.lists(
    st.one_of(LINES.map(lambda line: [line]), st.sampled_from(SOUND_LINES)), max_size=4
)


async def apply(text: str) -> bool:
    """Return whether a daemon accepts the plans beside the allowances."""
    editor = ListEditor(store=ScriptedStore())
    deadline = trio.current_time() + 5
    for base, kind, edited in ((0, ListKind.ALLOWANCES, ALLOWANCES), (1, ListKind.PLANS, text)):
        outcome = await editor.replace_list(
            kind, edited, base=base, author="ann", deadline=deadline
        )
    return isinstance(outcome, EditAccepted)


@seed(43)
@settings(max_examples=400, deadline=None)
@given(FILES)
def test_the_check_accepts_what_a_daemon_accepts(blocks):
    """Guards against a check that passes a list that a daemon refuses, and the reverse."""
    text = "\n".join(line for block in blocks for line in block)
    files = CheckedFiles(content=text.encode(), other_list=ALLOWANCES.encode(), in_force=b"")
    checked = check_plans(files=files)
    accepted = not isinstance(checked, Err) and checked.ok_value.accepted
    assert accepted == trio.run(apply, text)


def test_an_edit_of_too_many_entries_is_refused():
    """Guards against a check that passes an edit which no transaction of the store holds."""
    text = "".join(f'[w-{number}]\nplan = "large"\n' for number in range(101))
    for in_force, accepted in ((b"", False), (text.encode(), True)):
        files = CheckedFiles(
            content=text.encode(), other_list=ALLOWANCES.encode(), in_force=in_force
        )
        assert check_plans(files=files).unwrap().accepted is accepted


def write(path: Path, text: str) -> str:
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize("report_format", ["text", "json"])
@pytest.mark.parametrize("form", ["plans", "allowances"])
def test_findings_and_differences_are_shown(tmp_path, capsys, snapshot, form, report_format):
    """Guards against changes of the output, on which operators' scripts rely."""
    plans = write(tmp_path / "plans.toml", PLANS)
    allowances = write(tmp_path / "allowances.toml", ALLOWANCES)
    former_allowances = ALLOWANCES.replace("20", "10").replace("[spare]", "[small]")
    path, other, former = {
        "plans": (plans, allowances, FORMER_PLANS),
        "allowances": (allowances, plans, former_allowances),
    }[form]
    arguments = ["check", path, "--form", form, "--other-list", other]
    arguments += ["--against", write(tmp_path / "former.toml", former)]
    assert run_command([*arguments, "--format", report_format]) == 1
    assert capsys.readouterr().out == snapshot


def test_a_list_is_checked_without_the_other_one(tmp_path, capsys):
    """Guards against an error for a plan that may well be in the other list."""
    path = write(tmp_path / "plans.toml", f'[north]\nplan = "small"\nkeys = ["{FIRST}"]\n')
    assert run_command(["check", path, "--form", "plans"]) == 0
    assert capsys.readouterr().out == "no findings\n"


@pytest.mark.parametrize(
    ("content", "sentence"),
    [
        (b"\xff", "not valid UTF-8"),
        (b"[north", "line 1: : not valid TOML"),
        (b"[north]\nplan = 7\n", "line 2: north.plan: 7 is not accepted; name of an allowance"),
        (b"x = " + b"[" * 100_000, "not valid TOML"),
    ],
)
def test_a_broken_list_is_answered_with_a_sentence(tmp_path, capsys, content, sentence):
    """Guards against a trace, or a message that names neither field, value nor what is accepted."""
    path = tmp_path / "plans.toml"
    path.write_bytes(content)
    assert run_command(["check", str(path), "--form", "plans"]) == 2
    output = capsys.readouterr()
    assert sentence in output.err and "Traceback" not in output.err and not output.out
