"""A gate charge and its answers."""

import attrs


@attrs.frozen(kw_only=True)
class ChargeReply:
    """One request with the idempotency key of a charge.

    :param started_at: time at which it was sent.
    :param ended_at: time of the answer, of the loss of the connection or of the timeout.
    :param run_state: run state of the answer; ``lost`` if there was none.
    :param code: error code, empty for a success.
    """

    started_at: float
    ended_at: float
    run_state: str
    code: str = ""


@attrs.frozen(kw_only=True)
class ChargeEvent:
    """All requests with one idempotency key.

    :param call_id: id by which the service counts executions.
    :param issued: true for a key that a daemon issued.
    :param replies: the answers in the order of their arrival.
    """

    call_id: str
    issued: bool
    replies: list[ChargeReply] = attrs.field(factory=list)

    def has_false_not_run(self, executions: int) -> bool:
        """Return whether an answer ``not_run`` was certainly false.

        A request that lost its connection may still run after another one with its key was
        answered ``not_run``. So only two cases are certain: an executed call whose answers are all
        ``not_run``, and a ``not_run`` for a request that was sent after an answer ``run``.

        :param executions: number of executions that the service counted.
        """
        states = [reply.run_state for reply in self.replies]
        if executions and set(states) == {"not_run"}:
            return True
        first_run_at = min((r.ended_at for r in self.replies if r.run_state == "run"), default=None)
        return first_run_at is not None and any(
            reply.run_state == "not_run" and reply.started_at > first_run_at
            for reply in self.replies
        )
