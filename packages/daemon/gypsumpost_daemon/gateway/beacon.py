"""What a host tells its peers many times a second."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.gateway.copy_report import CopyReport
from gypsumpost_core.gateway.crash_report import CrashReport
from gypsumpost_core.gateway.engine_use import EngineUse
from gypsumpost_core.gateway.loss_report import LossReport


@attrs.frozen(kw_only=True)
class Beacon:
    """One datagram.

    :param host_id: the sender.
    :param failure_domain: domain of the sender.
    :param sequence: number of the datagram; a lower one that arrives later is ignored.
    :param version: version of the configuration in force.
    :param endpoint_revision: newest change of an endpoint that the sender knows.
    :param uses: the sender's work by engine.
    :param losses: endpoints that the sender found lost.
    :param crashes: requests that were running when an engine crashed.
    :param copies: where the copies of the sender's streams are.
    """

    host_id: str
    failure_domain: str
    sequence: int
    version: int
    endpoint_revision: int
    uses: Mapping[str, EngineUse]
    losses: tuple[LossReport, ...]
    crashes: tuple[CrashReport, ...]
    copies: tuple[CopyReport, ...]
