"""Tests of access control by the operators' lists."""

from types import SimpleNamespace
from typing import Any

from result import Ok

from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.callers.list_access import NO_LISTS, ListAccess


def find_workspace(revision: int) -> Any:
    lists: Any = SimpleNamespace(revision=revision, lists=Lists())
    shares: Any = None
    return ListAccess(lists=lists, shares=shares).find_workspace("key-1")


def test_daemon_without_lists_does_not_reject_keys_permanently() -> None:
    """Guards against 401, a permanent error, from a daemon started during a store outage (soak 1).

    Such a daemon has no lists yet and cannot know whether the key is valid.
    """
    assert find_workspace(revision=0).err_value == NO_LISTS
    assert not isinstance(find_workspace(revision=0), Ok)
    assert find_workspace(revision=1).err_value.status == 401
