"""Registry with all resumption policies; importing this module registers them."""

from gypsumpost_core.generations import resumption_baselines, weighed_resumption  # noqa: F401
from gypsumpost_core.generations.resumption_policy import RESUMPTION

__all__ = ["RESUMPTION"]
