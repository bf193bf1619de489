"""The workspaces of a load and their weights."""

import attrs
from result import Err, Ok, Result

ACCEPTED = "name=key:weight pairs separated by commas, for example north=secret:3,south=other:1"


@attrs.frozen(kw_only=True)
class WorkspaceDemand:
    """One workspace of a load.

    :param name: name of the workspace, for the report only.
    :param key: its bearer key.
    :param weight: its fraction of the requests, relative to the other weights.
    """

    name: str
    key: str = attrs.field(repr=False)
    weight: float


def parse_demands(text: str) -> Result[tuple[WorkspaceDemand, ...], str]:
    """Parse the workspaces of a load from a flag.

    :param text: ``name=key:weight`` pairs separated by commas; the weight may be left out.
    """
    demands = []
    for number, part in enumerate(text.split(","), start=1):
        name, has_key, rest = part.strip().partition("=")
        key, has_weight, weight = rest.rpartition(":")
        if not has_weight:
            key, weight = rest, "1"
        if not (name and has_key and key and _is_positive(weight)):
            # The entry may contain a key, so the message does not show it.
            return Err(f"entry {number} is invalid; expected {ACCEPTED}")
        demands.append(WorkspaceDemand(name=name, key=key, weight=float(weight)))
    return Ok(tuple(demands))


def _is_positive(text: str) -> bool:
    try:
        return 0 < float(text) < float("inf")
    except ValueError:
        return False
