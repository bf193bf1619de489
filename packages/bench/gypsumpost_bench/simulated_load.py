"""Random prompt and output lengths for simulated engines."""

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
