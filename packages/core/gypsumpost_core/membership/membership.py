"""The membership state machine of one process."""

import random

from gypsumpost_core.host import Host
from gypsumpost_core.membership.datagram import Datagram
from gypsumpost_core.membership.datagram_kind import DatagramKind
from gypsumpost_core.membership.domain_beat import DomainBeat
from gypsumpost_core.membership.domain_links import DomainLinks
from gypsumpost_core.membership.domain_sync import DomainSync
from gypsumpost_core.membership.local_health import LocalHealth
from gypsumpost_core.membership.member import list_refutable_updates
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.membership_decision import MembershipDecision
from gypsumpost_core.membership.membership_outbox import MembershipOutbox
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.prober import Prober
from gypsumpost_core.membership.report_host import ReportHost
from gypsumpost_core.membership.report_list_revision import ReportListRevision
from gypsumpost_core.membership.seeds import Seeds
from gypsumpost_core.membership.table_pages import TablePages

PAUSE_THRESHOLD_TICKS = 5
"""Number of ticks by which a tick must be late for this process to be considered paused."""


class Membership:
    """SWIM within a failure domain, with a few hosts that exchange with other domains.

    Each method handles an event and returns the resulting decisions.

    :param own: this host.
    :param boot_time: Unix time in seconds at which this process started. It gives a restarted
        process a higher incarnation than its predecessor.
    :param settings: intervals and limits.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        own: Host,
        boot_time: float,
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._health = LocalHealth()
        self._seeds = Seeds()
        self._outbox = MembershipOutbox(
            own=own, incarnation=int(boot_time * 1000), settings=settings
        )
        self._table = self._outbox.table
        pages = TablePages(outbox=self._outbox)
        self._prober = Prober(outbox=self._outbox, settings=settings, health=self._health, rng=rng)
        self._links = DomainLinks(
            outbox=self._outbox,
            seeds=self._seeds,
            settings=settings,
            health=self._health,
            rng=rng,
        )
        self._domain_sync = DomainSync(
            outbox=self._outbox, pages=pages, seeds=self._seeds, settings=settings, rng=rng
        )
        self._last_tick: float | None = None
        self._next_eager = 0.0
        self._highest_revision = 0

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process."""
        return self._table.own.incarnation

    @property
    def health_factor(self) -> float:
        """Return the factor by which this process lengthens its timeouts."""
        return self._health.factor

    def set_list_revision(self, revision: int) -> None:
        """Set the revision of the operators' lists that datagrams announce.

        :param revision: the revision that this daemon uses.
        """
        self._outbox.list_revision = revision
        self._highest_revision = max(self._highest_revision, revision)

    def set_seeds(self, source: str, hosts: list[Host]) -> list[MembershipDecision]:
        """Replace the seeds of one source.

        :param source: name of the source, for example ``settings`` or ``platform``.
        :param hosts: candidate hosts, which may no longer exist.
        """
        self._seeds.replace(source, hosts)
        for host in hosts:
            if host.host_id == self._table.own.host.host_id or self._table.get(host.host_id):
                continue
            self._outbox.add_decision(
                ReportHost(host=host, incarnation=0, state=MemberState.UNREACHABLE)
            )
        return self._outbox.drain_decisions()

    def tick(self, now: float) -> list[MembershipDecision]:
        """Run periodic work; must be called every ``settings.tick`` seconds.

        :param now: monotonic time in seconds.
        """
        self._handle_pause(now)
        self._last_tick = now
        self._domain_sync.tick(now)
        self._prober.tick(now)
        self._links.tick(now)
        self._table.forget_expired(now)
        self._send_urgent_updates(now)
        return self._outbox.drain_decisions()

    def handle_datagram(self, datagram: Datagram, now: float) -> list[MembershipDecision]:
        """Handle an authenticated datagram.

        :param datagram: the datagram.
        :param now: monotonic time in seconds.
        """
        own_id = self._table.own.host.host_id
        if datagram.sender.host.host_id == own_id:
            return []
        if datagram.kind is DatagramKind.PING and datagram.target_id != own_id:
            return []  # It is meant for a host that used this address before.
        self._handle_pause(now)
        self._apply_contents(datagram, now)
        self._answer(datagram, now)
        self._send_urgent_updates(now)
        return self._outbox.drain_decisions()

    def leave(self, now: float) -> list[MembershipDecision]:
        """Announce that this process is leaving; it must not take part in membership after this.

        :param now: monotonic time in seconds.
        """
        self._table.own.state = MemberState.DEAD
        self._table.recent_updates.add(self._table.own.create_update())
        self._table.cross_domain_updates.add(self._table.own.create_update())
        self._table.urgent = True
        self._next_eager = now
        self._send_urgent_updates(now)
        return self._outbox.drain_decisions()

    def _handle_pause(self, now: float) -> None:
        if self._last_tick is None:
            return
        late = now - self._last_tick - self._settings.tick
        if late < PAUSE_THRESHOLD_TICKS * self._settings.tick:
            return
        # Replies that arrived during the pause may still be in the socket's buffer.
        self._last_tick = now
        self._health.record_trouble(2)
        self._prober.extend_deadlines(late)
        self._links.extend_deadlines(late)

    def _apply_contents(self, datagram: Datagram, now: float) -> None:
        deadline = self._prober.compute_suspect_deadline(now, own_evidence=False)
        self._table.apply(datagram.sender, now=now, suspect_deadline=deadline)
        for update in datagram.updates:
            self._table.apply(update, now=now, suspect_deadline=deadline)
        domain = datagram.sender.host.failure_domain
        foreign = domain != self._table.own.host.failure_domain
        for update in datagram.page:
            self._table.apply(
                update,
                now=now,
                suspect_deadline=deadline,
                add_unknown_dead=False,
                forward=foreign or not self._domain_sync.is_joining(),
            )
        self._links.handle_beat(DomainBeat(failure_domain=domain, clock=datagram.clock), now)
        if foreign:
            self._links.compare(datagram, now)
        else:
            self._domain_sync.compare(datagram, now)
            for beat in datagram.beats:
                self._links.handle_beat(beat, now)
        self._handle_list_revision(datagram)

    def _handle_list_revision(self, datagram: Datagram) -> None:
        if datagram.list_revision > self._highest_revision:
            self._highest_revision = datagram.list_revision
            self._outbox.add_decision(
                ReportListRevision(
                    host_id=datagram.sender.host.host_id, revision=datagram.list_revision
                )
            )

    def _answer(self, datagram: Datagram, now: float) -> None:
        sender = datagram.sender.host
        member = self._table.get(sender.host_id)
        refutable = () if member is None else list_refutable_updates(member)
        if datagram.kind is DatagramKind.PING:
            self._outbox.send(
                DatagramKind.ACK, sender, sequence=datagram.sequence, required=refutable
            )
            return
        if refutable and datagram.sender.state is MemberState.ALIVE:
            # The sender may not know that it was suspected or declared dead.
            self._outbox.send(
                DatagramKind.PING, sender, target_id=sender.host_id, required=refutable
            )
        self._dispatch(datagram, now)

    def _dispatch(self, datagram: Datagram, now: float) -> None:
        foreign = datagram.sender.host.failure_domain != self._table.own.host.failure_domain
        if datagram.kind is DatagramKind.ACK:
            self._prober.handle_ack(datagram, now)
        elif datagram.kind is DatagramKind.PING_REQUEST:
            self._prober.handle_ping_request(datagram, now)
        elif datagram.kind is DatagramKind.PING_REQUEST_TAKEN:
            self._prober.handle_ping_request_taken(datagram)
        elif datagram.kind is DatagramKind.SYNC_REQUEST:
            self._domain_sync.send_page(datagram)
        elif datagram.kind is DatagramKind.SYNC_REPLY and foreign:
            self._links.handle_page(datagram, now)
        elif datagram.kind is DatagramKind.SYNC_REPLY:
            self._domain_sync.handle_page(datagram, now)

    def _send_urgent_updates(self, now: float) -> None:
        """Send deaths and refutations to a few hosts immediately, in rate-limited bursts."""
        if not self._table.urgent or now < self._next_eager:
            return
        self._table.urgent = False
        self._next_eager = now + self._settings.eager_interval
        peers = self._table.list_peers()
        receivers = self._rng.sample(peers, min(self._settings.eager_fanout, len(peers)))
        if self._links.is_link_host() or self._table.own.state is MemberState.DEAD:
            receivers += self._links.choose_receivers()
        for host in receivers:
            self._outbox.send(DatagramKind.GOSSIP, host)
