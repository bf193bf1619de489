"""Prompt that waits for an engine."""

from collections.abc import Callable, Collection, Sequence

import attrs

from gypsumpost_core.gateway.endpoint_state import EndpointState

Select = Callable[[Sequence[EndpointState], Collection[str]], list[EndpointState]]


@attrs.frozen(kw_only=True, eq=False)
class WaitingPrompt:
    """A prompt of this host that no engine has yet.

    :param request_id: id of the request.
    :param service: name of the service.
    :param priority: priority of the request, 0 is the highest.
    :param prompt_tokens: tokens that the engine has to prefill.
    :param total_tokens: maximum tokens of the stream, prompt and output together.
    :param first_event_by: monotonic time in seconds at which the first event is due.
    :param started: true if the caller has received events, which no longer come.
    :param wants_copy: true if the engines of the service support copies.
    :param tried: ids of engines that are excluded; may change meanwhile.
    :param select: returns the engines to which the request may go, of those given and with those
        tried; ``None`` if it may go to all.
    """

    request_id: str
    service: str
    priority: int
    prompt_tokens: int
    total_tokens: int
    first_event_by: float
    started: bool = False
    wants_copy: bool = False
    tried: set[str] = attrs.field(factory=set)
    select: Select | None = None
