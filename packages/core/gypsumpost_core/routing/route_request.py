"""Input of routing for one attempt."""

from functools import cached_property

import attrs

from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.frozen(kw_only=True)
class RouteRequest:
    """One attempt that needs an engine.

    :param workspace: workspace of the caller.
    :param model: name of the model.
    :param exact: model reference that a continuation requires, ``None`` for a first attempt.
    :param prompt_tokens: number of prompt tokens, estimated before the first attempt.
    :param max_tokens: maximum number of output tokens of this attempt.
    :param prefix_digests: digests of prefixes of the prompt, shortest first.
    :param fingerprint: digest of workspace, kind and body; identifies the request across retries.
    :param priority: requests with a higher value go first.
    :param excluded: names of endpoints that this request must not use.
    :param required_endpoint: name of the only endpoint that this attempt may use, empty if routing
        chooses.
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
    required_endpoint: str = ""

    @cached_property
    def suspect(self) -> CrashSuspect:
        """The request as a possible cause of crashes; the longest prefix may be its own."""
        parts = tuple(digest.to_bytes(8, "big") for digest in self.prefix_digests[:-1])
        return CrashSuspect(fingerprint=self.fingerprint.encode(), parts=parts)
