"""Division of an allowance among the daemons that serve a workspace."""

import math
from collections.abc import Mapping

from gypsumpost_core.limits.share_amounts import ShareAmounts

HEADROOM = 1.2
"""A share exceeds the demand by this factor if the other daemons' demand is met as well, so that
demand can grow by 20% before the next report."""

START_FRACTION = 0.005
"""Fraction of the allowance that a daemon gets in addition, so that it can start to serve."""


def compute_wanted(demand: ShareAmounts, limit: ShareAmounts) -> ShareAmounts:
    """Return the share that a daemon should get if the allowance is not scarce.

    :param demand: its demand.
    :param limit: total amounts for all daemons.
    """
    start = limit.scale(START_FRACTION)
    wanted = demand.scale(HEADROOM).combine(start, lambda left, right: left + right)
    # Generations are whole numbers: any demand needs at least one.
    return ShareAmounts(
        requests=wanted.requests, tokens=wanted.tokens, generations=math.ceil(wanted.generations)
    )


def divide_amounts(
    limit: ShareAmounts, demands: Mapping[str, ShareAmounts]
) -> dict[str, ShareAmounts]:
    """Return the target share of each daemon by host id; the sum is at most the limit.

    :param limit: total amounts for all daemons.
    :param demands: host id to demand.
    """
    wanted = {host_id: compute_wanted(demand, limit) for host_id, demand in demands.items()}
    parts = {
        name: _divide_one(
            getattr(limit, name),
            {host_id: getattr(demand, name) for host_id, demand in demands.items()},
            {host_id: getattr(amounts, name) for host_id, amounts in wanted.items()},
        )
        for name in ("requests", "tokens", "generations")
    }
    whole = _round_parts(parts["generations"])
    return {
        host_id: ShareAmounts(
            requests=parts["requests"][host_id],
            tokens=parts["tokens"][host_id],
            generations=whole[host_id],
        )
        for host_id in demands
    }


def fill_evenly(limit: float, wishes: Mapping[str, float]) -> dict[str, float]:
    """Divide an amount by max-min fairness; no part exceeds the requested amount.

    :param limit: the amount; a negative one counts as 0.
    :param wishes: name to requested amount.
    """
    parts: dict[str, float] = {}
    left = max(0.0, limit)
    ordered = sorted(wishes, key=lambda name: (wishes[name], name))
    for position, name in enumerate(ordered):
        parts[name] = min(wishes[name], left / (len(ordered) - position))
        left -= parts[name]
    return parts


def _divide_one(
    limit: float, demands: Mapping[str, float], wanted: Mapping[str, float]
) -> dict[str, float]:
    parts = fill_evenly(limit, demands)
    spare = limit - sum(parts.values())
    extra = fill_evenly(spare, {name: wanted[name] - parts[name] for name in parts})
    return {name: parts[name] + extra[name] for name in parts}


def _round_parts(parts: Mapping[str, float]) -> dict[str, int]:
    whole = {name: math.floor(part) for name, part in parts.items()}
    left = math.floor(sum(parts.values()) + 1e-9) - sum(whole.values())
    by_remainder = sorted(parts, key=lambda name: (whole[name] - parts[name], name))
    for name in by_remainder[:left]:
        whole[name] += 1
    return whole
