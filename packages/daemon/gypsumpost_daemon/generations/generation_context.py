"""What all generation tasks of a daemon share."""

import attrs

from gypsumpost_core.generations.resumption_policy import ResumptionPolicy
from gypsumpost_core.generations.retry_budget import RetryBudget
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.copies.copy_client import CopyClient
from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics
from gypsumpost_daemon.generations.stream_canceller import StreamCanceller
from gypsumpost_daemon.limits.admission_gate import AdmissionGate
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.suspicion.crash_guard import CrashGuard


@attrs.frozen(kw_only=True)
class GenerationContext:
    """The parts that a generation task talks to.

    :param settings: settings of the daemon.
    :param router: chooses engines.
    :param resumption: decides about streams that are lost or silent.
    :param engines: opens streams on engines.
    :param copies: keeps copies on other hosts.
    :param canceller: cancels streams that are no longer wanted.
    :param metrics: counts attempts and measures waits.
    :param crashes: keeps requests that crash engines from running on.
    :param retries: limits retries and continuations.
    :param admission: learns how long admitted generations take.
    """

    settings: Settings
    router: Router
    resumption: ResumptionPolicy
    engines: EngineClient
    copies: CopyClient
    canceller: StreamCanceller
    metrics: GenerationMetrics
    crashes: CrashGuard
    retries: RetryBudget
    admission: AdmissionGate
