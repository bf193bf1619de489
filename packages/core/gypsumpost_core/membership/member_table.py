"""Table of the known members and the precedence rules for updates."""

import functools
import operator
from collections.abc import Callable

from gypsumpost_core.host import Host
from gypsumpost_core.membership.forget_host import ForgetHost
from gypsumpost_core.membership.member import Member
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_decision import MembershipDecision
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.membership.report_host import ReportHost
from gypsumpost_core.membership.update_queue import UpdateQueue


class MemberTable:
    """Applies updates, reports changes and queues them for other hosts.

    :param own: this host.
    :param incarnation: boot time of this process in Unix milliseconds.
    :param settings: intervals and limits.
    :param emit: called with each report.
    """

    def __init__(
        self,
        *,
        own: Host,
        incarnation: int,
        settings: MembershipSettings,
        emit: Callable[[MembershipDecision], None],
    ) -> None:
        self.own = Member(host=own, incarnation=incarnation, state=MemberState.ALIVE)
        self.recent_updates = UpdateQueue()
        self.cross_domain_updates = UpdateQueue()
        self.suspects: set[str] = set()
        self.dead: set[str] = set()
        self.urgent = False
        self.version = 0
        self.member_ids_version = 0
        self._settings = settings
        self._emit = emit
        self._members: dict[str, Member] = {}
        self._digests: dict[str, int] = {}
        self._unreachable_domains: set[str] = set()
        self._live: dict[str, list[Host]] = {}
        self._live_version = -1

    def get(self, host_id: str) -> Member | None:
        """Return the entry of another host, ``None`` if it is unknown.

        :param host_id: the host.
        """
        return self._members.get(host_id)

    def list_members(self) -> list[Member]:
        """Return the entries of all known hosts other than this one."""
        return list(self._members.values())

    def list_domains(self) -> set[str]:
        """Return the names of the other domains with known hosts."""
        domains = {member.host.failure_domain for member in self._members.values()}
        return domains - {self.own.host.failure_domain}

    def compute_digest(self, failure_domain: str | None = None) -> int:
        """Return a digest of the live hosts and their incarnations, this host included.

        :param failure_domain: domain whose hosts are included, ``None`` for all.
        """
        digest = self.own.compute_digest()
        if failure_domain is None:
            return functools.reduce(operator.xor, self._digests.values(), digest)
        if failure_domain != self.own.host.failure_domain:
            digest = 0
        return digest ^ self._digests.get(failure_domain, 0)

    def list_live(self, failure_domain: str) -> list[Host]:
        """Return the hosts of a domain that are considered live, without this host.

        :param failure_domain: name of the domain.
        """
        if self._live_version != self.version:
            self._live_version = self.version
            self._live = {}
            for member in self._members.values():
                if member.state is not MemberState.DEAD:
                    self._live.setdefault(member.host.failure_domain, []).append(member.host)
        return self._live.get(failure_domain, [])

    def list_peers(self) -> list[Host]:
        """Return the live hosts of this host's own domain, without this host."""
        return self.list_live(self.own.host.failure_domain)

    def apply(
        self,
        update: MemberUpdate,
        *,
        now: float,
        suspect_deadline: float,
        add_unknown_dead: bool = True,
        forward: bool = True,
    ) -> None:
        """Apply an update if it supersedes the current entry.

        :param update: the update.
        :param now: monotonic time in seconds.
        :param suspect_deadline: monotonic time in seconds at which the suspicion expires, if the
            update is one.
        :param add_unknown_dead: true to add a dead host that is not known yet. It must be false for
            entries read in a table comparison, or hosts would add expired entries to each other
            forever.
        :param forward: false for entries that a joining host reads, which other hosts have already.
        """
        if update.host.host_id == self.own.host.host_id:
            self._refute(update)
            return
        if self._is_ignored(update, add_unknown_dead):
            return
        member = self._members.get(update.host.host_id)
        if member is None:
            member = Member(host=update.host, incarnation=update.incarnation, state=update.state)
            self._members[update.host.host_id] = member
            self._toggle_digest(member)
            self.member_ids_version += 1
        self._change(member, update, now, suspect_deadline)
        if forward:
            self._queue(update)

    def suspect(self, member: Member, *, now: float, deadline: float) -> None:
        """Suspect a host whose probe by this process failed.

        :param member: the host.
        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds at which the suspicion expires unless the host
            refutes it.
        """
        update = MemberUpdate(
            host=member.host, incarnation=member.incarnation, state=MemberState.SUSPECT
        )
        self.apply(update, now=now, suspect_deadline=deadline)

    def declare_dead(self, member: Member, *, now: float) -> None:
        """Declare a suspect dead.

        :param member: the host.
        :param now: monotonic time in seconds.
        """
        update = MemberUpdate(
            host=member.host, incarnation=member.incarnation, state=MemberState.DEAD
        )
        self.apply(update, now=now, suspect_deadline=now)

    def forget_expired(self, now: float) -> None:
        """Remove the dead hosts whose retention time has passed.

        :param now: monotonic time in seconds.
        """
        for host_id in [h for h in self.dead if self._members[h].forget_deadline <= now]:
            self.dead.discard(host_id)
            del self._members[host_id]
            self.version += 1
            self.member_ids_version += 1
            self._emit(ForgetHost(host_id=host_id))

    def set_domain_unreachable(self, failure_domain: str, unreachable: bool) -> None:
        """Set whether a domain is unreachable and report the resulting states of its hosts.

        :param failure_domain: name of the domain.
        :param unreachable: true if no evidence that it is reachable arrived within the timeout.
        """
        if unreachable:
            self._unreachable_domains.add(failure_domain)
        else:
            self._unreachable_domains.discard(failure_domain)
        for member in self._members.values():
            if member.host.failure_domain == failure_domain:
                self._report(member)

    def _is_ignored(self, update: MemberUpdate, add_unknown_dead: bool) -> bool:
        foreign = update.host.failure_domain != self.own.host.failure_domain
        if foreign and update.state is MemberState.SUSPECT:
            return True  # Only hosts of a suspect's own domain probe it and receive its refutation.
        member = self._members.get(update.host.host_id)
        if member is None:
            return update.state is MemberState.DEAD and not add_unknown_dead
        return not update.supersedes(member.state, member.incarnation)

    def _change(
        self, member: Member, update: MemberUpdate, now: float, suspect_deadline: float
    ) -> None:
        host_id = update.host.host_id
        self.urgent = self.urgent or update.state is MemberState.DEAD
        self._toggle_digest(member)
        member.host = update.host
        member.incarnation = update.incarnation
        member.state = update.state
        self._toggle_digest(member)
        member.suspect_deadline = suspect_deadline
        member.forget_deadline = now + self._settings.dead_retention
        self.suspects.discard(host_id)
        self.dead.discard(host_id)
        if update.state is MemberState.SUSPECT:
            self.suspects.add(host_id)
        if update.state is MemberState.DEAD:
            self.dead.add(host_id)
        self.version += 1
        self._report(member, changed=True)

    def _queue(self, update: MemberUpdate) -> None:
        self.recent_updates.add(update)
        own_domain = update.host.failure_domain == self.own.host.failure_domain
        if own_domain and update.state is not MemberState.SUSPECT:
            self.cross_domain_updates.add(update)

    def _toggle_digest(self, member: Member) -> None:
        domain = member.host.failure_domain
        self._digests[domain] = self._digests.get(domain, 0) ^ member.compute_digest()

    def _report(self, member: Member, changed: bool = False) -> None:
        state = member.state
        if (
            state is not MemberState.DEAD
            and member.host.failure_domain in self._unreachable_domains
        ):
            state = MemberState.UNREACHABLE
        if changed or state is not member.reported:
            member.reported = state
            report = ReportHost(host=member.host, incarnation=member.incarnation, state=state)
            self._emit(report)

    def _refute(self, update: MemberUpdate) -> None:
        if self.own.state is MemberState.DEAD:
            return  # This host has already announced that it is leaving.
        if not update.supersedes(self.own.state, self.own.incarnation):
            return
        # An alive update with a higher incarnation dates from before a restart after which the
        # wall clock was behind.
        self.own.incarnation = update.incarnation + 1
        self.urgent = True
        self._queue(self.own.create_update())
