"""What all generation tasks of a daemon share."""

import attrs

from gypsumpost_core.resumption_policy import ResumptionPolicy
from gypsumpost_core.retry_budget import RetryBudget
from gypsumpost_core.router import Router
from gypsumpost_daemon.admission_gate import AdmissionGate
from gypsumpost_daemon.copy_client import CopyClient
from gypsumpost_daemon.crash_guard import CrashGuard
from gypsumpost_daemon.engine_client import EngineClient
from gypsumpost_daemon.generation_metrics import GenerationMetrics
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.stream_canceller import StreamCanceller


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
