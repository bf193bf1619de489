"""One request of a load."""

import attrs


@attrs.frozen(kw_only=True)
class LoadArrival:
    """A generation or a gate call, and when to send it.

    :param at: seconds after the start of the load.
    :param number: sequence number, counted separately for generations and gate calls.
    :param workspace: index of the workspace.
    :param max_tokens: output tokens, 0 for a gate call.
    :param chat: true to call the chat API.
    :param prompt: prompt of a generation.
    """

    at: float
    number: int
    workspace: int
    max_tokens: int = 0
    chat: bool = False
    prompt: str = ""

    @property
    def is_gate_call(self) -> bool:
        """True for a call to a plain service."""
        return self.max_tokens == 0
