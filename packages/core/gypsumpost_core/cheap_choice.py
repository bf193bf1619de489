"""Random choice that prefers low costs."""

import math
import random
from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


def choose_cheap(
    rng: random.Random,
    candidates: Sequence[T],
    estimate_cost: Callable[[T], float],
    spread: float,
) -> T:
    """Choose at random, with a probability that falls exponentially with the cost.

    :param rng: random number generator.
    :param candidates: what to choose from, at least one.
    :param estimate_cost: returns the cost of a candidate.
    :param spread: a candidate that costs this much more is chosen 2.7 times less often.
    """
    costs = [estimate_cost(candidate) for candidate in candidates]
    lowest = min(costs)
    weights = [math.exp((lowest - cost) / spread) for cost in costs]
    return rng.choices(candidates, weights)[0]
