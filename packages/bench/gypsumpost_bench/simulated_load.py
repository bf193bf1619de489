"""Random prompt and output lengths for simulated engines, and quantiles of measured times."""

import random

MEAN_PROMPT = 500
"""Mean prompt tokens."""

MEAN_OUTPUT = 200
"""Mean output tokens."""


def draw_prompt(chance: random.Random) -> int:
    """Return a number of prompt tokens."""
    return chance.randint(100, 2 * MEAN_PROMPT - 100)


def draw_output(chance: random.Random) -> int:
    """Return a number of output tokens; the distribution is exponential."""
    return 1 + int(chance.expovariate(1 / MEAN_OUTPUT))


def find_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile by the nearest rank, 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
