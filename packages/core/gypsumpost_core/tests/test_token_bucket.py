"""Tests of the token bucket."""

from gypsumpost_core.limits.token_bucket import TokenBucket


def test_new_bucket_starts_with_its_lowest_capacity() -> None:
    """Guards against refusing a workspace's first requests although its allowance is large."""
    bucket = TokenBucket(burst_seconds=0.2, minimum_capacity=1, now=0.0)
    bucket.set_minimum(20)
    bucket.set_rate(100, 0.0)
    for _ in range(20):
        assert bucket.compute_wait(1, 0.0) == 0.0
        bucket.take(1, 0.0)
    assert bucket.compute_wait(1, 0.0) > 0.0


def test_later_change_of_the_capacity_adds_nothing() -> None:
    """Guards against exceeding an allowance each time the number of hosts changes."""
    bucket = TokenBucket(burst_seconds=0.2, minimum_capacity=1, now=0.0)
    bucket.set_minimum(2)
    bucket.take(2, 0.0)
    bucket.set_minimum(1)
    bucket.set_minimum(2)
    bucket.set_rate(1, 0.0)
    assert bucket.compute_wait(1, 0.0) == 1.0
