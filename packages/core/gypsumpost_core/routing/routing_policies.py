"""All routing policies; importing this module registers them."""

from gypsumpost_core.routing import expected_time_policy, routing_baselines  # noqa: F401
from gypsumpost_core.routing.routing_policy import ROUTING

__all__ = ["ROUTING"]
