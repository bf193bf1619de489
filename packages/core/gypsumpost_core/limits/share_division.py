"""Division of an allowance among the daemons that serve a workspace."""

import math
from collections.abc import Mapping

from gypsumpost_core.limits.share_amounts import ShareAmounts

HEADROOM = 1.2
"""A share exceeds the demand by this factor if the other daemons' demand is met as well, so that
demand can grow by 20% before the next report."""

START_FRACTION = 0.005
"""Fraction of the allowance that a daemon gets in addition, so that it can start to serve."""


def compute_desired_share(demand: ShareAmounts, limit: ShareAmounts) -> ShareAmounts:
    """Return the share that a daemon should get if the allowance is not scarce.

    :param demand: its demand.
    :param limit: total amounts for all daemons.
    """
    start = limit.scale(START_FRACTION)
    desired = demand.scale(HEADROOM).combine(start, lambda left, right: left + right)
    # Generations are whole numbers: any demand needs at least one.
    return ShareAmounts(
        requests=desired.requests, tokens=desired.tokens, generations=math.ceil(desired.generations)
    )


def divide_amounts(
    limit: ShareAmounts, demands: Mapping[str, ShareAmounts]
) -> dict[str, ShareAmounts]:
    """Return the target share of each daemon by host id; the sum is at most the limit.

    :param limit: total amounts for all daemons.
    :param demands: host id to demand.
    """
    desired = {host_id: compute_desired_share(demand, limit) for host_id, demand in demands.items()}
    parts = {
        name: _divide_amount(
            getattr(limit, name),
            {host_id: getattr(demand, name) for host_id, demand in demands.items()},
            {host_id: getattr(amounts, name) for host_id, amounts in desired.items()},
        )
        for name in ("requests", "tokens", "generations")
    }
    whole = _round_to_integers(parts["generations"])
    return {
        host_id: ShareAmounts(
            requests=parts["requests"][host_id],
            tokens=parts["tokens"][host_id],
            generations=whole[host_id],
        )
        for host_id in demands
    }


def divide_max_min(limit: float, requested: Mapping[str, float]) -> dict[str, float]:
    """Divide an amount by max-min fairness; no part exceeds the requested amount.

    :param limit: the amount; a negative one counts as 0.
    :param requested: name to requested amount.
    """
    parts: dict[str, float] = {}
    remaining = max(0.0, limit)
    ordered = sorted(requested, key=lambda name: (requested[name], name))
    for position, name in enumerate(ordered):
        parts[name] = min(requested[name], remaining / (len(ordered) - position))
        remaining -= parts[name]
    return parts


def _divide_amount(
    limit: float, demands: Mapping[str, float], desired: Mapping[str, float]
) -> dict[str, float]:
    parts = divide_max_min(limit, demands)
    spare = limit - sum(parts.values())
    extra = divide_max_min(spare, {name: desired[name] - parts[name] for name in parts})
    return {name: parts[name] + extra[name] for name in parts}


def _round_to_integers(parts: Mapping[str, float]) -> dict[str, int]:
    whole = {name: math.floor(part) for name, part in parts.items()}
    remaining = math.floor(sum(parts.values()) + 1e-9) - sum(whole.values())
    by_remainder = sorted(parts, key=lambda name: (whole[name] - parts[name], name))
    for name in by_remainder[:remaining]:
        whole[name] += 1
    return whole
