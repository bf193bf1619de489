"""Enforcement of the workspaces' allowances on one daemon."""

import math
from collections.abc import Callable

from result import Err, Ok, Result

from gypsumpost_core.failure import Failure
from gypsumpost_core.limits.demand_report import DemandReport
from gypsumpost_core.limits.share_amounts import ShareAmounts, get_limit
from gypsumpost_core.limits.share_grant import ShareGrant
from gypsumpost_core.limits.share_mode import ShareMode
from gypsumpost_core.limits.workspace_usage import WorkspaceUsage
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.run_state import RunState

PENDING_SECONDS = 0.25
"""Retry delay for a request that arrived before this daemon had a share."""

BUSY_SECONDS = 1.0
"""Retry delay for a request that would exceed the share's concurrent generations."""


class AllowanceAdmission:
    """Tracks this daemon's usage of each workspace's allowance.

    :param get_lists: returns the current lists.
    :param mode: how allowances are divided among the daemons.
    :param count_hosts: returns the number of known hosts.
    :param unix_offset: Unix time minus monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        get_lists: Callable[[], Lists],
        mode: ShareMode,
        count_hosts: Callable[[], int],
        unix_offset: float,
    ) -> None:
        self._get_lists = get_lists
        self._mode = mode
        self._count_hosts = count_hosts
        self._unix_offset = unix_offset
        self._usages: dict[str, WorkspaceUsage] = {}

    def check(self, workspace: str, resource: str, now: float) -> Result[None, Failure]:
        """Deduct one request from the share, or refuse it.

        The caller must call :meth:`start_generation` for an accepted generation without awaiting
        anything in between.

        :param workspace: the workspace that sent the request.
        :param resource: name of the model or plain service.
        :param now: monotonic time in seconds.
        :returns: the reason if the request is refused.
        """
        allowance = self._get_lists().find_allowance(workspace)
        if allowance is None:
            return self._refuse(403, "no_plan", "The workspace has no plan.")
        generation = resource in allowance.models
        if not generation and resource not in allowance.services:
            message = f"The plan {allowance.name} does not include {resource}."
            return self._refuse(403, "not_in_plan", message)
        usage = self._prepare(workspace, allowance, now)
        refused = self._find_refusal(usage, generation, now)
        usage.record_request(refused is None, generation, now)
        if refused is not None:
            return refused
        usage.requests.take(1, now)
        return Ok(None)

    def has_share(self, workspace: str, now: float) -> bool:
        """Return whether this daemon holds a share of a workspace's allowance.

        :param workspace: the workspace.
        :param now: monotonic time in seconds.
        """
        usage = self._usages.get(workspace)
        return usage is not None and usage.deadline > now and usage.held.requests > 0

    def mark_active(self, workspace: str, now: float) -> None:
        """Mark a workspace as active, so that this daemon requests a share of its allowance.

        :param workspace: the workspace.
        :param now: monotonic time in seconds.
        """
        self._get_usage(workspace, now).mark_active(now)

    def start_generation(self, workspace: str, now: float) -> None:
        """Count a generation as running.

        :param workspace: its workspace.
        :param now: monotonic time in seconds.
        """
        self._get_usage(workspace, now).running += 1

    def charge_tokens(self, workspace: str, count: int, now: float) -> None:
        """Charge tokens as they are produced; a generation continues if the share is exhausted.

        :param workspace: the workspace.
        :param count: number of tokens.
        :param now: monotonic time in seconds.
        """
        self._get_usage(workspace, now).record_tokens(count, now)

    def finish_generation(self, workspace: str, tokens: int, now: float) -> None:
        """Count a generation as ended.

        :param workspace: its workspace.
        :param tokens: number of tokens that it produced.
        :param now: monotonic time in seconds.
        """
        usage = self._get_usage(workspace, now)
        usage.running -= 1
        usage.record_finished_generation(tokens)

    def list_due(self, now: float) -> list[str]:
        """Drop expired shares and idle workspaces, and return the workspaces with a due report.

        :param now: monotonic time in seconds.
        """
        for usage in self._usages.values():
            usage.expire(now)
        self._usages = {
            name: usage
            for name, usage in self._usages.items()
            if not usage.is_idle(now) or not usage.held.is_zero()
        }
        return [name for name, usage in self._usages.items() if usage.is_due(now)]

    def create_report(self, workspace: str, number: int, now: float) -> DemandReport:
        """Return a report of this daemon's demand for one workspace.

        :param workspace: a workspace that :meth:`list_due` returned.
        :param number: number of the report.
        :param now: monotonic time in seconds.
        """
        allowance = self._get_lists().find_allowance(workspace)
        limit = ShareAmounts() if allowance is None else get_limit(allowance)
        return self._get_usage(workspace, now).create_report(workspace, number, limit, now)

    def adopt(self, number: int, grant: ShareGrant, now: float) -> None:
        """Apply a granted share; ignored for a workspace that is no longer used here.

        :param number: number of the report to which the grant replies.
        :param grant: the share.
        :param now: monotonic time in seconds.
        """
        usage = self._usages.get(grant.workspace)
        if usage is not None:
            usage.expire(now)
            usage.adopt(number, grant.amounts, grant.deadline - self._unix_offset, now)

    def _get_usage(self, workspace: str, now: float) -> WorkspaceUsage:
        usage = self._usages.get(workspace)
        if usage is None:
            usage = self._usages[workspace] = WorkspaceUsage(now=now)
        return usage

    def _prepare(self, workspace: str, allowance: Allowance, now: float) -> WorkspaceUsage:
        usage = self._get_usage(workspace, now)
        limit, hosts = get_limit(allowance), self._count_hosts()
        usage.set_burst(limit, hosts)
        fixed = self._mode.compute_fixed(limit, hosts)
        if fixed is None:
            usage.expire(now)
        elif fixed != usage.held:
            usage.adopt(usage.held_number + 1, fixed, math.inf, now)
        return usage

    def _find_refusal(
        self, usage: WorkspaceUsage, generation: bool, now: float
    ) -> Err[Failure] | None:
        if usage.held.is_zero():
            message = "This host has no share of the allowance yet."
            return self._refuse(429, "share_pending", message, now + PENDING_SECONDS)
        wait = usage.requests.compute_wait(1, now)
        if wait > 0:
            message = "The requests per second of the plan are used up."
            return self._refuse(429, "requests_per_second", message, now + wait)
        if not generation:
            return None
        if usage.running >= usage.held.generations:
            message = "The concurrent generations of the plan are in use."
            return self._refuse(429, "concurrent_generations", message, now + BUSY_SECONDS)
        wait = usage.tokens.compute_wait(0, now)
        if wait > 0:
            message = "The tokens per second of the plan are used up."
            return self._refuse(429, "tokens_per_second", message, now + wait)
        return None

    def _refuse(
        self, status: int, code: str, message: str, retry_at: float | None = None
    ) -> Err[Failure]:
        if retry_at is not None:
            retry_at = None if math.isinf(retry_at) else retry_at + self._unix_offset
        return Err(
            Failure(
                status=status,
                code=code,
                message=message,
                run_state=RunState.NOT_RUN,
                retry_at=retry_at,
            )
        )
