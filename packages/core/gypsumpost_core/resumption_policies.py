"""All resumption policies; importing this module fills their registry."""

from gypsumpost_core import resumption_baselines, weighed_resumption  # noqa: F401
from gypsumpost_core.resumption_policy import RESUMPTION

__all__ = ["RESUMPTION"]
