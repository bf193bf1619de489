"""The state that a host sends to its peers many times a second."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.crashes.crash_report import CrashReport
from gypsumpost_core.crashes.survival_report import SurvivalReport
from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.engine_usage import EngineUsage
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.retry_count import RetryCount
from gypsumpost_core.gateway.store_era import NO_ERA, StoreEra
from gypsumpost_core.limits.request_limit import RequestLimit
from gypsumpost_daemon.rollouts.rollout_report import NO_REPORT, RolloutReport


@attrs.frozen(kw_only=True)
class Beacon:
    """The state of a host, or the totals of its domain, in one datagram.

    :param host: the sender and its state.
    :param ip: address of the sender.
    :param covers_domain: true if it carries the totals of all hosts of the sender's domain.
    :param sequence: number of the datagram; a lower one that arrives later is ignored.
    :param version: version of the configuration that the sender has applied.
    :param endpoint_revision: revision of the newest endpoint change that the sender knows.
    :param uses: usage by engine, of the sender or of its domain.
    :param rates: prefill rates in tokens per second by engine, as measured lately.
    :param retries: requests and retries by service, of the sender or of its domain.
    :param losses: endpoints that the sender has detected as lost.
    :param returns: lost endpoints that the sender has detected as alive again.
    :param leaving: processes that have said that they leave.
    :param limits: limits on requests that endpoints have named, or that have ended lately.
    :param crashes: requests that engines had when they crashed.
    :param survivals: possible causes of crashes with which requests have run.
    :param copies: the sender's streams, and where their copies are.
    :param rollouts: records of roll-outs and evidence about versions.
    :param incarnation: process of the sender, in Unix milliseconds of its start.
    :param copies_left_out: true if the copies did not fit into the datagram.
    :param confirmed_ms_ago: age of the store's last confirmation that no newer version exists,
        ``None`` if there is none.
    :param era: era of the store to which the endpoint revision belongs.
    :param endpoints_told_ms_ago: time for which the store has told the domain nothing of the
        endpoints, ``None`` if it never has.
    :param begun: digests of the requests that have begun to stream in the domain lately.
    """

    host: HostReport
    ip: str
    covers_domain: bool = False
    sequence: int
    version: int
    endpoint_revision: int
    uses: Mapping[str, EngineUsage]
    retries: Mapping[str, RetryCount]
    losses: tuple[EndpointStart, ...] = ()
    returns: tuple[EndpointStart, ...] = ()
    leaving: tuple[EndpointStart, ...] = ()
    limits: tuple[RequestLimit, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    survivals: tuple[SurvivalReport, ...] = ()
    copies: tuple[CopyReport, ...] = ()
    rollouts: RolloutReport = NO_REPORT
    incarnation: int = 0
    copies_left_out: bool = False
    begun: tuple[bytes, ...] = ()
    confirmed_ms_ago: int | None = None
    era: StoreEra = NO_ERA
    endpoints_told_ms_ago: int | None = None
    rates: Mapping[str, int] = attrs.field(factory=dict)
