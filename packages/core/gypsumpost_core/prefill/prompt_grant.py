"""Decision to send a prompt to an engine."""

import attrs

from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.prefill.obstacle import Obstacle
from gypsumpost_core.prefill.waiting_prompt import WaitingPrompt


@attrs.frozen(kw_only=True)
class PromptGrant:
    """A prompt that is to be sent now.

    :param prompt: the prompt.
    :param engine: the engine that has room for it.
    :param with_copy: true if an engine of another domain has room for its copy.
    :param late: true if its first event will be late.
    :param waited_for: what it has waited for at last, ``None`` if it did not wait.
    """

    prompt: WaitingPrompt
    engine: EndpointState
    with_copy: bool
    late: bool
    waited_for: Obstacle | None = None
