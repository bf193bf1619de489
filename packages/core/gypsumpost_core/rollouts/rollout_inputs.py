"""Inputs of a step of a roll-out."""

import attrs

from gypsumpost_core.rollouts.fleet_view import FleetView
from gypsumpost_core.rollouts.judgement import Judgement
from gypsumpost_core.rollouts.rollout_plan import RolloutPlan
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_core.rollouts.rollout_settings import RolloutSettings


@attrs.frozen(kw_only=True)
class RolloutInputs:
    """Inputs of a step of a running roll-out.

    :param record: the stored state.
    :param judgement: what the evidence says.
    :param fleet: what the decider knows of the fleet.
    :param settings: bounds of roll-outs.
    :param plan: times of the parts of the roll-out.
    :param now_ms: Unix time in milliseconds.
    """

    record: RolloutRecord
    judgement: Judgement
    fleet: FleetView
    settings: RolloutSettings
    plan: RolloutPlan
    now_ms: int
