"""What routing needs to know about a request."""

import attrs

from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class RouteRequest:
    """One attempt that needs an engine.

    :param workspace: the workspace that asks.
    :param model: name of the model.
    :param exact: the exact reference that a continuation needs, ``None`` for a first attempt.
    :param prompt_tokens: number of prompt tokens, estimated before the first attempt.
    :param max_tokens: most output tokens of this attempt.
    :param prefix_digests: digests of growing prefixes of the prompt, shortest first.
    :param fingerprint: digest of workspace and body; names the request over repeats.
    :param priority: higher goes first.
    :param excluded: names of endpoints that this request must not use.
    :param only: name of the one endpoint that this attempt may use, empty if routing chooses.
    """

    workspace: str
    model: str
    exact: ModelRef | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_digests: tuple[int, ...] = ()
    fingerprint: str = ""
    priority: int = 0
    excluded: frozenset[str] = frozenset()
    only: str = ""
