"""A gate charge and its answers."""

import attrs


@attrs.frozen(kw_only=True)
class ChargeReply:
    """One request under the key of a charge.

    :param started_at: time at which it was sent.
    :param ended_at: time of the answer or of the end of the connection.
    :param run_state: run state of the answer; ``lost`` if there was none.
    :param code: error code, empty for a success.
    """

    started_at: float
    ended_at: float
    run_state: str
    code: str = ""


@attrs.frozen(kw_only=True)
class ChargeEvent:
    """All requests under one key.

    :param call_id: id that the service counts executions by.
    :param issued: true for a key that a daemon issued.
    :param replies: the answers in the order of their arrival.
    """

    call_id: str
    issued: bool
    replies: list[ChargeReply] = attrs.field(factory=list)

    def find_false_not_run(self, executions: int) -> bool:
        """Return whether an answer ``not_run`` was certainly false.

        A request that is cut off may run after another one under its key was answered ``not_run``,
        so only two cases are certain: all answers say ``not_run``, or one says so after ``run``.

        :param executions: how often the service executed the call.
        """
        states = [reply.run_state for reply in self.replies]
        if executions and set(states) == {"not_run"}:
            return True
        done = min((r.ended_at for r in self.replies if r.run_state == "run"), default=None)
        return done is not None and any(
            reply.run_state == "not_run" and reply.started_at > done for reply in self.replies
        )
