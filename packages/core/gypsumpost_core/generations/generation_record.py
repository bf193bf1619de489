"""The part of a generation's state that is copied to other daemons."""

import attrs

from gypsumpost_core.generations.attempt_origin import AttemptOrigin
from gypsumpost_core.generations.generation_kind import GenerationKind
from gypsumpost_core.generations.piece import Piece
from gypsumpost_core.routing.model_ref import ModelRef


@attrs.define(kw_only=True, eq=False)
class GenerationRecord:
    """State that another daemon needs to continue a generation.

    :param generation_id: unique id, independent of the hosts that hold the state.
    :param workspace: the workspace that owns the answer.
    :param request_id: id of the request in the logs.
    :param idempotency_key: key that the caller chose, empty if none.
    :param kind: completion or chat.
    :param body: the caller's request body.
    :param model: name of the model as given by the caller.
    :param max_tokens: maximum number of output tokens of the whole answer.
    :param stop: stop sequences.
    :param return_token_ids: true if the caller requested token ids.
    :param stream: true if the caller requested server-sent events.
    :param priority: scheduling priority; higher values are served first.
    :param created_at: Unix time in seconds of the request.
    :param deadline: Unix time in seconds after which no attempt starts.
    :param keep_until: Unix time in seconds after which the state is dropped.
    :param epoch: number of the current owner, incremented by each takeover.
    :param attempt: number of the current attempt, 0 before the first.
    :param attempt_base: number of output tokens when the current attempt started.
    :param engine: name of the engine of the current attempt.
    :param engine_address: address of that engine.
    :param stream_id: id of the current attempt's stream on its engine.
    :param exact: model version and adapter that the engine runs, ``None`` before the first attempt.
    :param prompt_token_ids: token ids of the prompt, empty before the first token.
    :param pieces: the answer so far.
    :param owner_tag: random tag of the current owner; makes the names of its attempts unique.
    :param origins: start offset and name of each attempt that produced output, in order.
    :param finish_reason: why the answer ended, ``None`` while it runs.
    """

    generation_id: str
    workspace: str
    request_id: str
    kind: GenerationKind
    body: bytes
    model: str
    max_tokens: int
    idempotency_key: str = ""
    stop: tuple[str, ...] = ()
    return_token_ids: bool = False
    stream: bool = True
    priority: int = 0
    created_at: float = 0.0
    deadline: float = 0.0
    keep_until: float = 0.0
    epoch: int = 1
    attempt: int = 0
    attempt_base: int = 0
    engine: str = ""
    engine_address: str = ""
    stream_id: str = ""
    exact: ModelRef | None = None
    prompt_token_ids: tuple[int, ...] = ()
    pieces: list[Piece] = attrs.field(factory=list)
    owner_tag: str = ""
    origins: list[AttemptOrigin] = attrs.field(factory=list)
    finish_reason: str | None = None

    @property
    def length(self) -> int:
        """Number of output tokens so far."""
        return self.pieces[-1].end if self.pieces else 0

    def list_token_ids(self) -> list[int]:
        """Return all output token ids so far."""
        return [token for piece in self.pieces for token in piece.token_ids]

    def add_origin(self) -> None:
        """Record the current attempt as the origin of the following tokens."""
        if self.origins and self.origins[-1].base == self.length:
            self.origins.pop()
        name = f"{self.owner_tag}{self.attempt}"
        self.origins.append(AttemptOrigin(name=name, base=self.length))

    def find_origin(self, offset: int) -> str:
        """Return the name of the attempt that produced the token before an offset.

        :param offset: number of output tokens; for 0 the name is empty.
        """
        for origin in reversed(self.origins):
            if origin.base < offset:
                return origin.name
        return ""

    def has_prefix(self, name: str, offset: int) -> bool:
        """Return whether this answer starts with the tokens that a caller has received.

        If two daemons take over the same generation, their continuations can differ.

        :param name: name of the attempt that produced the caller's last token.
        :param offset: number of output tokens that the caller has received.
        """
        if not offset:
            return True
        for origin, following in zip(self.origins, [*self.origins[1:], None], strict=True):
            if origin.name == name:
                return following is None or offset <= following.base
        return False
