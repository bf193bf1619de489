"""Durable state of a roll-out."""

import attrs

from gypsumpost_core.rollouts.rollout_phase import RolloutPhase


@attrs.frozen(kw_only=True)
class RolloutRecord:
    """The state of a service's last roll-out, one item in the store.

    Only the decider writes it, on condition that it is unchanged since it was read.

    :param service: name of the service.
    :param target_version: the version that the service moves to.
    :param order_revision: number of the order, a position as a token.
    :param phase: phase of the roll-out.
    :param share: part of the service's requests that may go to the target version, 0 to 1. A
        running roll-out with the share 1 drains the other versions.
    :param spare: requests that may go to the target version beyond that part before there is a
        verdict, over all hosts since the order; it only grows.
    :param hosts: hosts among which the spare requests are divided, the most that a decider knew.
    :param order_seconds: time that the order gave, 0 if it is not known.
    :param barred: versions of earlier orders that got no good verdict; no request goes there.
    :param started_at_ms: Unix milliseconds of the first step.
    :param share_since_ms: Unix milliseconds of the last change of the share.
    :param deadline_ms: Unix milliseconds by which the roll-out has to end.
    :param fencing_token: token of the lease under which the record was written.
    :param reason: why the last step was taken, for operators.
    """

    service: str
    target_version: str
    order_revision: int
    phase: RolloutPhase
    share: float
    started_at_ms: int
    share_since_ms: int
    deadline_ms: int
    fencing_token: int
    reason: str
    spare: int = 0
    hosts: int = 1
    order_seconds: float = 0.0
    barred: tuple[str, ...] = ()
