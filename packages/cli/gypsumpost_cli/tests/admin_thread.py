"""Runs an administration interface in a thread, because the commands block their own."""

import contextlib
import socket
import threading
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest
import trio


def set_up_access(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    (tmp_path / "admin.key").write_text("secret\n")
    monkeypatch.setenv("GYPSUMPOST_ADMIN_ADDRESS", address)
    monkeypatch.setenv("GYPSUMPOST_ADMIN_KEY_FILE", str(tmp_path / "admin.key"))
    return address


@contextlib.contextmanager
def run_in_thread(start: Callable[[trio.Nursery], Awaitable[object]]) -> Iterator[None]:
    ready, tokens = threading.Event(), []

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            tokens.append((trio.lowlevel.current_trio_token(), nursery.cancel_scope))
            await start(nursery)
            ready.set()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    assert ready.wait(10)
    try:
        yield
    finally:
        token, scope = tokens[0]
        token.run_sync_soon(scope.cancel)
        thread.join()
