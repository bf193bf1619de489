"""Tests of the retries of streams after a loss."""

from types import SimpleNamespace

from gypsumpost_core.gateway.retry_budget import RetryBudget
from gypsumpost_daemon.gateway.forward_context import ForwardContext


class Permits:
    """Permits of a coordinator that grants some retries."""

    def __init__(self, left):
        self.left = left

    async def take_retry(self, service):
        self.left -= 1
        return self.left >= 0


def create_context(own_streams, all_streams, granted):
    usage = SimpleNamespace(compute_own_part=lambda now: own_streams / all_streams)
    return SimpleNamespace(
        usage=usage,
        retry_budget=RetryBudget(ratio=0.0, allowance=20.0, window=10.0),
        permits=Permits(granted),
    )


async def test_a_host_that_lost_all_its_streams_resumes_them_at_once(autojump_clock):
    """Guards against resumptions that wait a second each while the budget is not spent."""
    context = create_context(own_streams=3, all_streams=60, granted=10)
    taken = [await ForwardContext.try_acquire_stream_retry(context, "model") for _ in range(3)]
    assert taken == [True] * 3


async def test_a_spent_budget_allows_no_retry(autojump_clock):
    """Guards against more retries than the deployment allows."""
    context = create_context(own_streams=3, all_streams=60, granted=0)
    taken = [await ForwardContext.try_acquire_stream_retry(context, "model") for _ in range(3)]
    assert taken == [True, False, False]
