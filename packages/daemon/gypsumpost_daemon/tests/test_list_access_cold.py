"""Tests of requests that arrive before the daemon has a share of the allowance."""

from types import SimpleNamespace
from typing import Any

import trio
from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.list_access import TOO_MANY_REQUESTS, ListAccess

REFUSED = Failure(
    status=TOO_MANY_REQUESTS, code="requests_per_second", message="", run_state=RunState.NOT_RUN
)


class FakeAdmission:
    """Refuses a given number of checks, then admits."""

    def __init__(self, refusals: int, has_share: bool) -> None:
        self.refusals = refusals
        self.share = has_share

    def has_share(self, workspace: str, now: float) -> bool:
        return self.share

    def check(self, workspace: str, resource: str, now: float) -> Result[None, Failure]:
        self.refusals -= 1
        return Ok(None) if self.refusals < 0 else Err(REFUSED)


async def admit(refusals: int, has_share: bool) -> Result[None, Failure]:
    async def wait_for_share(workspace: str) -> None:
        await trio.sleep(5)

    allowance = SimpleNamespace(requests_per_second=10)
    lists: Any = SimpleNamespace(lists=SimpleNamespace(find_allowance=lambda name: allowance))
    admission = FakeAdmission(refusals, has_share)
    shares: Any = SimpleNamespace(admission=admission, wait_for_share=wait_for_share)
    return await ListAccess(lists=lists, shares=shares).admit("north", "summary")


async def test_requests_that_waited_for_a_share_wait_for_its_rate_too(autojump_clock: Any) -> None:
    """Guards against refusing concurrent callers right after a start although the plan is large."""
    assert isinstance(await admit(refusals=15, has_share=False), Ok)


async def test_request_beyond_a_held_share_is_refused_immediately(autojump_clock: Any) -> None:
    """Guards against callers that wait although their allowance is exhausted."""
    assert isinstance(await admit(refusals=1, has_share=True), Err)


async def test_wait_of_a_cold_request_is_bounded(autojump_clock: Any) -> None:
    """Guards against callers that wait forever if no share is granted."""
    assert isinstance(await admit(refusals=1000, has_share=False), Err)
