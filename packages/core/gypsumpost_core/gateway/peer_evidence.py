"""Decides which hosts probe an endpoint that peers report as lost or returned.

Load: a whole domain of engines goes down at once. If every host probes every engine that a peer
reports, the connections grow with hosts times endpoints.
"""

from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.endpoint_state import EndpointState
from gypsumpost_core.gateway.heard_reports import HeardReports, update_times
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.report_verdict import ReportVerdict
from gypsumpost_core.host import Host
from gypsumpost_core.rendezvous import rank_hosts

VERIFIERS = 3
"""Hosts of a domain that probe an endpoint whenever a peer reports it."""

CONFIRMATIONS = 2
"""Hosts of the own domain that have to report a loss before it is adopted: a single host may itself
be cut off from the endpoint."""

EXPIRY_SECONDS = 1.6
"""Reports of a host expire after slightly more than two beacon intervals of an idle host."""


@attrs.define(kw_only=True)
class PeerEvidence:
    """The reports of peers about lost and returned endpoints.

    A report is adopted only from hosts of the own domain, which reach the endpoint by the same
    path. It has to be newer than what it contradicts: hosts repeat reports for a while, and one
    that has not heard of a loss still reports the return before it.

    :param own: this host.
    """

    own: Host
    _heard: dict[tuple[str, bool], HeardReports] = attrs.field(factory=dict, init=False)

    def record(
        self,
        reporter: HostReport,
        losses: Iterable[EndpointStart],
        returns: Iterable[EndpointStart],
        now: float,
        *,
        covers_domain: bool,
    ) -> HeardReports:
        """Replace what a peer reports, and return it.

        :param reporter: the peer.
        :param losses: the processes that it reports as lost.
        :param returns: the processes that it reports as alive again.
        :param now: monotonic time in seconds.
        :param covers_domain: true if the beacon covers the domain of the peer.
        """
        own_domain = reporter.failure_domain == self.own.failure_domain
        heard = self._heard.setdefault(
            (reporter.host_id, covers_domain),
            HeardReports(in_own_domain=own_domain and not covers_domain),
        )
        if now >= heard.expires_at:
            heard.losses, heard.returns = {}, {}
        heard.losses = update_times(heard.losses, losses, now)
        heard.returns = update_times(heard.returns, returns, now)
        heard.expires_at = now + EXPIRY_SECONDS
        return heard

    def judge_loss(
        self,
        start: EndpointStart,
        state: EndpointState,
        hosts: Sequence[Host],
        now: float,
        *,
        in_use: bool,
    ) -> ReportVerdict:
        """Return what to do about an endpoint that a peer reports as lost.

        :param start: the process.
        :param state: the endpoint, which is not marked lost.
        :param hosts: the live hosts of the own domain, this one included.
        :param now: monotonic time in seconds.
        :param in_use: true if requests of this host run there; they must not end on hearsay.
        """
        if in_use or self._is_verifier(start, hosts):
            return ReportVerdict.PROBE
        confirmations = sum(
            heard.losses.get(start, state.alive_at) > state.alive_at
            for heard in self._heard.values()
            if heard.in_own_domain and now < heard.expires_at
        )
        return ReportVerdict.ADOPT if confirmations >= CONFIRMATIONS else ReportVerdict.WAIT

    def judge_return(
        self,
        start: EndpointStart,
        state: EndpointState,
        heard: HeardReports,
        hosts: Sequence[Host],
        now: float,
    ) -> ReportVerdict:
        """Return what to do about a lost endpoint that a peer reports as alive.

        A host that has observed the loss itself checks the return itself, because it may be cut
        off.

        :param start: the process.
        :param state: the endpoint, which is marked lost.
        :param heard: what the peer reports.
        :param hosts: the live hosts of the own domain, this one included.
        :param now: monotonic time in seconds.
        """
        first_at = heard.returns[start]
        if not state.loss_adopted or self._is_verifier(start, hosts):
            # One probe for each report; if it fails, the probes at intervals go on.
            return ReportVerdict.PROBE if first_at == now else ReportVerdict.WAIT
        fresh = heard.in_own_domain and first_at > state.lost_at
        return ReportVerdict.ADOPT if fresh else ReportVerdict.WAIT

    def _is_verifier(self, start: EndpointStart, hosts: Sequence[Host]) -> bool:
        if len(hosts) <= VERIFIERS:
            return True
        verifiers = rank_hosts(start.endpoint_id, hosts)[:VERIFIERS]
        return any(host.host_id == self.own.host_id for host in verifiers)
