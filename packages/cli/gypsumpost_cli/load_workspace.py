"""The workspaces of a load and their weights."""

import attrs
from result import Err, Ok, Result

ACCEPTED_FORMAT = (
    "name=key:weight pairs separated by commas, for example north=secret:3,south=other:1"
)


@attrs.frozen(kw_only=True)
class LoadWorkspace:
    """One workspace of a load.

    :param name: name of the workspace, for the report only.
    :param key: its bearer key.
    :param weight: its fraction of the requests, relative to the other weights.
    """

    name: str
    key: str = attrs.field(repr=False)
    weight: float


def parse_load_workspaces(text: str) -> Result[tuple[LoadWorkspace, ...], str]:
    """Parse the workspaces of a load from a flag.

    :param text: ``name=key:weight`` pairs separated by commas; the weight may be left out.
    """
    workspaces = []
    for number, entry in enumerate(text.split(","), start=1):
        name, equals_sign, key_and_weight = entry.strip().partition("=")
        key, colon, weight = key_and_weight.rpartition(":")
        if not colon:
            key, weight = key_and_weight, "1"
        if not (name and equals_sign and key and _is_positive(weight)):
            # The entry may contain a key, so the message does not show it.
            return Err(f"entry {number} is invalid; expected {ACCEPTED_FORMAT}")
        workspaces.append(LoadWorkspace(name=name, key=key, weight=float(weight)))
    return Ok(tuple(workspaces))


def _is_positive(text: str) -> bool:
    try:
        return 0 < float(text) < float("inf")
    except ValueError:
        return False
