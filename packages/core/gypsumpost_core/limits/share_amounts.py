"""Amounts of the three quantities that an allowance limits."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from gypsumpost_core.lists.allowance import Allowance

REQUEST_UNIT = 0.001
"""Resolution of request rates in shares, in requests per second. Tokens and generations are whole
numbers. The sender and the receiver of a message thus agree exactly on the granted amounts."""


@attrs.frozen(kw_only=True)
class ShareAmounts:
    """A demand, a limit or a share.

    :param requests: requests per second.
    :param tokens: generated tokens per second.
    :param generations: concurrent generations.
    """

    requests: float = 0.0
    tokens: float = 0.0
    generations: float = 0.0

    def combine(
        self, other: ShareAmounts, operation: Callable[[float, float], float]
    ) -> ShareAmounts:
        """Return the result of applying an operation to each pair of amounts.

        :param other: the right operands.
        :param operation: a binary operation such as ``min``.
        """
        return ShareAmounts(
            requests=operation(self.requests, other.requests),
            tokens=operation(self.tokens, other.tokens),
            generations=operation(self.generations, other.generations),
        )

    def scale(self, factor: float) -> ShareAmounts:
        """Return the amounts multiplied by a factor.

        :param factor: the factor.
        """
        return self.combine(self, lambda amount, _: amount * factor)

    def round_down(self) -> ShareAmounts:
        """Return the amounts rounded down to whole units; negative amounts become 0."""
        # 5e-7 of a unit compensates for floating-point rounding errors.
        units = math.floor(self.requests / REQUEST_UNIT + 5e-7)
        return ShareAmounts(
            requests=max(0, units) * REQUEST_UNIT,
            tokens=max(0, math.floor(self.tokens + 5e-7)),
            generations=max(0, math.floor(self.generations + 5e-7)),
        )

    def is_zero(self) -> bool:
        """Return whether no amount is above 0."""
        return self.requests <= 0 and self.tokens <= 0 and self.generations <= 0


def add_amounts(amounts: list[ShareAmounts]) -> ShareAmounts:
    """Return the element-wise sum of amounts.

    :param amounts: the summands.
    """
    total = ShareAmounts()
    for summand in amounts:
        total = total.combine(summand, lambda left, right: left + right)
    return total


def get_limit(allowance: Allowance) -> ShareAmounts:
    """Return the limits of an allowance as amounts.

    :param allowance: the allowance of one workspace.
    """
    return ShareAmounts(
        requests=allowance.requests_per_second,
        tokens=allowance.tokens_per_second,
        generations=allowance.concurrent_generations,
    )
