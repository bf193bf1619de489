"""Random prompt and output lengths for simulated engines, and quantiles of measured times."""

import random

MEAN_PROMPT_TOKENS = 500
"""Mean of the uniform distribution of prompt lengths."""

MEAN_OUTPUT_TOKENS = 200
"""Mean of the exponential distribution of output lengths."""


def draw_prompt(rng: random.Random) -> int:
    """Return a number of prompt tokens."""
    return rng.randint(100, 2 * MEAN_PROMPT_TOKENS - 100)


def draw_output(rng: random.Random) -> int:
    """Return a number of output tokens; the distribution is exponential."""
    return 1 + int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS))


def find_quantile(values: list[float], quantile: float) -> float:
    """Return the sorted value at ``int(quantile * count)``, the last at most; 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
