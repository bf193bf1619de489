"""Components shared by all generation tasks of a daemon."""

import attrs

from gypsumpost_core.generations.resumption_policy import ResumptionPolicy
from gypsumpost_core.generations.retry_budget import RetryBudget
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.copies.copy_client import CopyClient
from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics
from gypsumpost_daemon.generations.stream_canceller import StreamCanceller
from gypsumpost_daemon.limits.admission_gate import AdmissionGate
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.suspicion.crash_guard import CrashGuard


@attrs.frozen(kw_only=True)
class GenerationContext:
    """Dependencies of a generation task.

    :param settings: settings of the daemon.
    :param router: chooses engines.
    :param resumption: policy for lost and silent streams.
    :param engines: opens streams on engines.
    :param copies: replicates generations to other hosts.
    :param canceller: cancels streams that are no longer needed.
    :param metrics: counts attempts and records wait times.
    :param crash_guard: quarantines requests that crash engines.
    :param retry_budget: limits retries and continuations.
    :param admission: is notified of first tokens and ends of admitted generations.
    :param signals: what engines say about themselves.
    """

    settings: Settings
    router: Router
    resumption: ResumptionPolicy
    engines: EngineClient
    copies: CopyClient
    canceller: StreamCanceller
    metrics: GenerationMetrics
    crash_guard: CrashGuard
    retry_budget: RetryBudget
    admission: AdmissionGate
    signals: EndpointSignals
