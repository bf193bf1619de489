"""Tests of the commands for the operators' lists."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
import trio

from gypsumpost_bench.scripted_store import ScriptedStore
from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_cli.main import run_command
from gypsumpost_cli.tests.admin_thread import run_in_thread, set_up_access
from gypsumpost_daemon.admin.admin_application import AdminApplication
from gypsumpost_daemon.admin.admin_lists import AdminLists
from gypsumpost_daemon.admin.admin_server import serve_admin
from gypsumpost_daemon.lists.list_task import ListTask

Run = Callable[..., tuple[int, str]]


async def run_interface(nursery: trio.Nursery, address: str) -> None:
    store, host = ScriptedStore(), create_hosts(1)[0]
    directory = create_directory(host, [host])
    port = SimulatedPort(network=SimulatedNetwork(), host_id=host.host_id)
    task = ListTask(directory=directory, peers=port, store=store)
    application = AdminApplication(key="secret")
    AdminLists(store=store, task=task, directory=directory).add_routes(application)
    nursery.start_soon(task.run)
    await nursery.start(serve_admin, application, address)


@pytest.fixture
def run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> Iterator[Run]:
    address = set_up_access(tmp_path, monkeypatch)

    def run_and_read(*arguments: str) -> tuple[int, str]:
        code = run_command(arguments)
        captured = capsys.readouterr()
        return code, (captured.out + captured.err).strip()

    with run_in_thread(lambda nursery: run_interface(nursery, address)):
        yield run_and_read


ALLOWANCE = [
    "--models=summary",
    "--requests-per-second=5",
    "--tokens-per-second=900",
    "--concurrent-generations=4",
    "--deadline-seconds=60",
]


def test_edit_apply_and_undo(run: Run, tmp_path: Path) -> None:
    """Guards against commands that lose fields, keys or the revision between show and apply."""
    (tmp_path / "new.key").write_text("the-key\n")
    assert run("allowances", "edit", "large", *ALLOWANCE)[0] == 0
    key_flag = ["--add-key-file", str(tmp_path / "new.key")]
    assert run("plans", "edit", "north", "--plan", "large", *key_flag, "--wait") == (
        0,
        "accepted as revision 2\nh0: revision 2, in force",
    )
    code, shown = run("allowances", "show")
    assert (code, shown.splitlines()[0]) == (0, "# revision 2")
    file = tmp_path / "allowances.toml"
    file.write_text(shown.replace("requests_per_second = 5.0", "requests_per_second = 6"))
    assert run("allowances", "apply", str(file), "--wait")[0] == 0
    code, text = run("allowances", "apply", str(file))
    assert code == 1
    assert "conflict: revision 3" in text
    assert "+requests_per_second = 6" in run("allowances", "diff")[1]
    assert run("allowances", "undo", "3") == (0, "accepted as revision 4")
    rows = run("allowances", "history")[1].splitlines()
    assert [row.split()[0] for row in rows] == ["4", "3", "1"]
    assert "the-key" not in run("plans", "show")[1]


def test_wrong_commands_name_the_cause(run: Run, tmp_path: Path) -> None:
    """Guards against an operator who cannot tell what to correct."""
    file = tmp_path / "plans.toml"
    file.write_text('# revision 0\n[north]\nplan = "gone"\n')
    code, text = run("plans", "apply", str(file))
    assert (code, "line 3: north.plan" in text) == (1, True)
    file.write_text("")
    assert "--revision" in run("plans", "apply", str(file))[1]
    assert "--plan" in run("plans", "edit", "north")[1]
    assert "--remove-key" in run("plans", "edit", "north", "--remove-key", "")[1]
    assert run("plans", "edit", "north", "--remove") == (1, "gypsumpost: there is no entry north")
    assert run("plans", "apply", str(tmp_path / "none"))[0] == 2
    missing = run("plans", "show", "--admin-key-file", str(tmp_path / "none"))
    assert (missing[0], "--admin-key-file" in missing[1]) == (2, True)
    wrong = run("plans", "show", "--admin-address", "nowhere")
    assert (wrong[0], "--admin-address" in wrong[1]) == (2, True)
