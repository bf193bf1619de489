"""What a host tells its peers many times a second."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.engine_usage import EngineUsage
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.retry_count import RetryCount


@attrs.frozen(kw_only=True)
class Beacon:
    """One datagram.

    :param host: the sender and its state.
    :param ip: address of the sender.
    :param covers_domain: true if it speaks for all hosts of the sender's domain.
    :param sequence: number of the datagram; a lower one that arrives later is ignored.
    :param version: version of the configuration in force.
    :param endpoint_revision: newest change of an endpoint that the sender knows.
    :param uses: work by engine, of the sender or of its domain.
    :param retries: requests and repeats by service, of the sender or of its domain.
    :param losses: endpoints that the sender found lost.
    :param returns: lost endpoints that the sender found alive again.
    :param crashes: requests that were running when an engine crashed.
    :param copies: where the copies of the sender's streams are.
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
    crashes: tuple[CrashReport, ...] = ()
    copies: tuple[CopyReport, ...] = ()
