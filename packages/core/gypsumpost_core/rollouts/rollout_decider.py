"""Decides the next step of a roll-out."""

import math

import attrs

from gypsumpost_core.rollouts.evidence_sum import EvidenceSum
from gypsumpost_core.rollouts.fleet_view import FleetView
from gypsumpost_core.rollouts.record_renewal import is_to_be_renewed, renew_record
from gypsumpost_core.rollouts.rollout_identity import is_answered
from gypsumpost_core.rollouts.rollout_inputs import RolloutInputs
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_core.rollouts.rollout_plan import plan_rollout
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings
from gypsumpost_core.rollouts.rollout_step import RolloutStep
from gypsumpost_core.rollouts.verdict import Verdict
from gypsumpost_core.rollouts.version_judge import judge_version

# The rest of the bounds covers late news, restarts and requests that never reach an endpoint.
USED_SHARE_PART = 0.8
USED_SLACK_PART = 0.6
KEPT_SLACK_PART = 0.1
# Each host rounds its part to whole requests at random, which has a deviation of at most 0.5.
ROUNDING_DEVIATION = 0.5
ROUNDING_DEVIATIONS = 4
FIRST_SHARE_PART = 0.5
FIRST_SPARE_PART = 0.2
GROWTH_FACTOR = 2
GROWTH_ANSWERS = 3
# Answers for each spare request granted so far; most requests are still on their way.
GROWTH_ANSWERS_PART = 1 / 3
# A step is written at most this often, so that the load on the store does not depend on traffic.
GROWTH_INTERVAL_MS = 1_000
RAMP_SHARES = (0.25, 0.5)
# Below this number of answers a version is not judged, however good they are.
FEW_ANSWERS = 3
# A version that has answered less than this part of what the others would have may hang.
USUAL_ANSWERS_PART = 0.5
# Hosts need this long to hear that no new request goes to the old versions, and to report it.
DRAIN_SETTLE_MS = 2_000


def decide_step(
    *,
    record: RolloutRecord | None,
    order: RolloutOrder | None,
    evidence: EvidenceSum,
    fleet: FleetView,
    settings: RolloutSettings,
    fencing_token: int,
    now_ms: int,
) -> RolloutStep:
    """Decide the next step of the roll-out of one service.

    The caller writes the step's record on condition that the stored one is still ``record``.

    :param record: the stored state, ``None`` if the service never had a roll-out.
    :param order: the operator's order, ``None`` if there is none.
    :param evidence: the evidence of the service, summed over hosts.
    :param fleet: what the decider knows of the fleet.
    :param settings: bounds of roll-outs.
    :param fencing_token: token of the decider's lease.
    :param now_ms: Unix time in milliseconds.
    """
    if record is not None and record.fencing_token > fencing_token:
        return wait("another decider has a later lease")
    if order is not None and order.is_valid and not is_answered(record, order):
        return RolloutStep(
            record=start_rollout(record, order, fleet, fencing_token, now_ms),
            reason="new order",
        )
    if record is not None and is_to_be_renewed(record, order, fencing_token):
        return renew_record(record, order, fencing_token)
    if record is None or record.phase is not RolloutPhase.RUNNING:
        if order is not None and not order.is_valid:
            return wait(f"order {order.revision} is not valid")
        return wait("no roll-out runs")
    # The clock of the former decider may have been ahead.
    now_ms = max(now_ms, record.share_since_ms)
    inputs = RolloutInputs(
        record=attrs.evolve(record, fencing_token=fencing_token),
        judgement=judge_version(evidence, record.target_version),
        fleet=fleet,
        settings=settings,
        plan=plan_rollout(record.started_at_ms, record.deadline_ms),
        now_ms=now_ms,
    )
    if order is None:
        return roll_back(inputs, "the order was withdrawn")
    if inputs.judgement.verdict is Verdict.BAD:
        return roll_back(inputs, inputs.judgement.reason)
    if record.share >= 1.0:
        return decide_drain(inputs)
    return decide_observation(inputs)


def start_rollout(
    record: RolloutRecord | None,
    order: RolloutOrder,
    fleet: FleetView,
    fencing_token: int,
    now_ms: int,
) -> RolloutRecord:
    """Return the first record of an order.

    :param record: the record of the service's last order.
    :param order: the order.
    :param fleet: what the decider knows of the fleet.
    :param fencing_token: token of the decider's lease.
    :param now_ms: Unix time in milliseconds.
    """
    phase, share, reason = RolloutPhase.RUNNING, 0.0, "new order"
    if fleet.target_endpoints and not fleet.other_endpoints:
        phase, share, reason = RolloutPhase.COMPLETED, 1.0, "no other version serves"
    return RolloutRecord(
        service=order.service,
        target_version=order.target_version,
        order_revision=order.revision,
        phase=phase,
        share=share,
        started_at_ms=now_ms,
        share_since_ms=now_ms,
        deadline_ms=now_ms + int(order.left_seconds * 1_000),
        fencing_token=fencing_token,
        reason=reason,
        hosts=fleet.hosts,
        order_seconds=order.seconds,
        barred=list_barred(record, order.target_version),
    )


def list_barred(record: RolloutRecord | None, target_version: str) -> tuple[str, ...]:
    """Return the versions that a new order bars.

    :param record: the record of the service's last order.
    :param target_version: the version of the new order.
    """
    if record is None:
        return ()
    barred = set(record.barred)
    if record.phase is not RolloutPhase.COMPLETED:
        barred.add(record.target_version)
    return tuple(sorted(barred - {target_version}))


def decide_observation(inputs: RolloutInputs) -> RolloutStep:
    """Decide a step while a part of the requests goes to the target version.

    :param inputs: the inputs.
    """
    record, plan, now_ms = inputs.record, inputs.plan, inputs.now_ms
    if now_ms >= plan.last_drain_at_ms:
        return decide_last_chance(inputs)
    if not inputs.fleet.service_known or not inputs.fleet.target_endpoints:
        reason = explain_absence(inputs.fleet)
        return set_share(inputs, 0.0, reason) if record.share > 0 else wait(reason)
    if record.share <= 0:
        # The slack is granted once: a version that comes back after an outage keeps what it had.
        full_spare = compute_full_spare(inputs.settings, inputs.fleet.hosts)
        spare = record.spare or min(
            full_spare, round(FIRST_SPARE_PART * inputs.settings.expose_slack)
        )
        share = FIRST_SHARE_PART * inputs.settings.expose_share
        return set_share(inputs, share, "first requests", spare)
    if inputs.judgement.verdict is Verdict.DOUBTFUL:
        return decide_doubtful(inputs)
    if inputs.judgement.verdict is Verdict.GOOD and now_ms >= plan.ramp_at_ms:
        return decide_ramp(inputs)
    return decide_growth(inputs)


def decide_last_chance(inputs: RolloutInputs) -> RolloutStep:
    """Decide when no more time can be spent on observation.

    :param inputs: the inputs.
    """
    if not inputs.fleet.service_known or not inputs.fleet.target_endpoints:
        return roll_back(inputs, explain_absence(inputs.fleet))
    if inputs.judgement.verdict is Verdict.DOUBTFUL:
        return roll_back(inputs, f"doubtful: {inputs.judgement.reason}")
    if inputs.judgement.answers < FEW_ANSWERS:
        return roll_back(inputs, f"too little traffic: {inputs.judgement.reason}")
    if inputs.judgement.answers < USUAL_ANSWERS_PART * inputs.judgement.usual_answers:
        return roll_back(inputs, f"answers are missing: {inputs.judgement.reason}")
    if inputs.now_ms >= inputs.plan.final_at_ms:
        return roll_back(inputs, "too little time is left to drain the old versions")
    return set_share(inputs, 1.0, f"last time to drain: {inputs.judgement.reason}")


def decide_ramp(inputs: RolloutInputs) -> RolloutStep:
    """Decide a step from the small share to all requests.

    :param inputs: the inputs.
    """
    plan = inputs.plan
    span = max(1, plan.drain_at_ms - plan.ramp_at_ms)
    step = int(len(RAMP_SHARES) * (inputs.now_ms - plan.ramp_at_ms) / span)
    share = RAMP_SHARES[step] if step < len(RAMP_SHARES) else 1.0
    if share <= inputs.record.share:
        return wait("the next step of the ramp is later")
    return set_share(inputs, share, inputs.judgement.reason)


def decide_growth(inputs: RolloutInputs) -> RolloutStep:
    """Decide whether the small share grows.

    :param inputs: the inputs.
    """
    record, settings = inputs.record, inputs.settings
    full_share = USED_SHARE_PART * settings.expose_share
    full_spare = compute_full_spare(settings, inputs.fleet.hosts)
    if record.share >= full_share and record.spare >= full_spare:
        return wait("the share is as large as it may be before the verdict")
    if inputs.now_ms - record.share_since_ms < GROWTH_INTERVAL_MS:
        return wait("the share has just changed")
    # Each doubling needs more answers, so that the share does not outrun the evidence.
    if inputs.judgement.answers < max(GROWTH_ANSWERS, GROWTH_ANSWERS_PART * record.spare):
        return wait(inputs.judgement.reason)
    share = max(record.share, min(full_share, GROWTH_FACTOR * record.share))
    spare = max(record.spare, min(full_spare, GROWTH_FACTOR * max(1, record.spare)))
    return set_share(inputs, share, inputs.judgement.reason, spare)


def decide_drain(inputs: RolloutInputs) -> RolloutStep:
    """Decide while no new request goes to the old versions.

    :param inputs: the inputs.
    """
    fleet, now_ms, final_at_ms = inputs.fleet, inputs.now_ms, inputs.plan.final_at_ms
    is_final = now_ms >= final_at_ms
    if not fleet.service_known or not fleet.target_endpoints:
        reason = explain_absence(fleet)
        return roll_back(inputs, reason) if is_final else set_share(inputs, 0.0, reason)
    if inputs.judgement.verdict is Verdict.DOUBTFUL:
        return decide_doubtful(inputs)
    left = f"{fleet.other_requests} requests on old versions, {fleet.missing_hosts} silent hosts"
    is_settled = now_ms - inputs.record.share_since_ms >= DRAIN_SETTLE_MS
    is_drained = is_settled and not fleet.other_requests and not fleet.missing_hosts
    if not is_drained and not is_final:
        return wait(left)
    return finish(inputs, RolloutPhase.COMPLETED, 1.0, f"{inputs.judgement.reason}; {left}")


def decide_doubtful(inputs: RolloutInputs) -> RolloutStep:
    """Decide on evidence that is too weak for a verdict.

    :param inputs: the inputs.
    """
    reason = f"doubtful: {inputs.judgement.reason}"
    open_share = USED_SHARE_PART * inputs.settings.expose_share
    if inputs.now_ms >= inputs.plan.final_at_ms:
        return roll_back(inputs, reason)
    if inputs.record.share > open_share and inputs.now_ms < inputs.plan.last_drain_at_ms:
        return set_share(inputs, open_share, reason)
    return wait(reason)


def compute_full_spare(settings: RolloutSettings, hosts: int) -> int:
    """Return the number of spare requests that may be granted to all hosts together.

    :param settings: bounds of roll-outs.
    :param hosts: hosts of the deployment.
    """
    rounding = ROUNDING_DEVIATIONS * ROUNDING_DEVIATION * math.sqrt(hosts)
    usable = (1.0 - KEPT_SLACK_PART) * settings.expose_slack - rounding
    return max(0, int(min(USED_SLACK_PART * settings.expose_slack, usable)))


def explain_absence(fleet: FleetView) -> str:
    """Return why no request can go to the target version.

    :param fleet: what the decider knows of the fleet.
    """
    if not fleet.service_known:
        return "the service is not in the configuration"
    return "no endpoint has the version"


def set_share(
    inputs: RolloutInputs, share: float, reason: str, spare: int | None = None
) -> RolloutStep:
    """Return a step that changes the share.

    :param inputs: the inputs.
    :param share: the new share.
    :param reason: why.
    :param spare: the new number of spare requests, ``None`` to keep it.
    """
    record = attrs.evolve(
        inputs.record,
        share=share,
        spare=inputs.record.spare if spare is None else spare,
        hosts=max(inputs.record.hosts, inputs.fleet.hosts),
        share_since_ms=inputs.now_ms,
        reason=reason,
    )
    return RolloutStep(record=record, reason=reason)


def roll_back(inputs: RolloutInputs, reason: str) -> RolloutStep:
    """Return the step that ends a roll-out with the old versions.

    :param inputs: the inputs.
    :param reason: why.
    """
    return finish(inputs, RolloutPhase.ROLLED_BACK, 0.0, reason)


def finish(inputs: RolloutInputs, phase: RolloutPhase, share: float, reason: str) -> RolloutStep:
    """Return the last step of a roll-out.

    :param inputs: the inputs.
    :param phase: the final phase.
    :param share: the final share.
    :param reason: why.
    """
    record = attrs.evolve(
        inputs.record, phase=phase, share=share, share_since_ms=inputs.now_ms, reason=reason
    )
    return RolloutStep(record=record, reason=reason)


def wait(reason: str) -> RolloutStep:
    """Return the step that changes nothing.

    :param reason: why.
    """
    return RolloutStep(record=None, reason=reason)
