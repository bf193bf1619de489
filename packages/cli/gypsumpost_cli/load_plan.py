"""The parameters of a load."""

import attrs

from gypsumpost_cli.load_workspace import LoadWorkspace


@attrs.frozen(kw_only=True)
class LoadPlan:
    """An open-loop load: requests arrive whether or not earlier ones have ended.

    :param rate: generations per second.
    :param seconds: how long requests arrive.
    :param workspaces: the workspaces that send them.
    :param seed: seed of the arrival times and of the mix.
    :param model: model of the generations.
    :param long_share: share of long generations, from 0 to 1.
    :param short_tokens: output tokens of a short generation.
    :param long_tokens: output tokens of a long generation.
    :param prefixes: number of prompt prefixes that the generations share.
    :param prefix_characters: length of each prefix in characters.
    :param service: plain service of the gate calls.
    :param gate_rate: gate calls per second, 0 for none.
    """

    rate: float
    seconds: float
    workspaces: tuple[LoadWorkspace, ...]
    seed: int = 0
    model: str = "summary"
    long_share: float = 0.04
    short_tokens: int = 60
    long_tokens: int = 600
    prefixes: int = 20
    prefix_characters: int = 400
    service: str = "gate"
    gate_rate: float = 0.0
