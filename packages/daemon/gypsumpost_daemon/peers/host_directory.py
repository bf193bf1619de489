"""Directory of the known hosts."""

from collections.abc import Callable

from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_core.host import Host
from gypsumpost_core.membership.member_state import MemberState
from gypsumpost_core.rendezvous import rank_hosts


class HostDirectory:
    """Addresses and liveness of the entry hosts.

    The membership task writes it; all other components read it.

    :param own: this host.
    """

    def __init__(self, *, own: Host) -> None:
        self.own = own
        self._known: dict[str, Host] = {own.host_id: own}
        self._live: set[str] = {own.host_id}
        self._states: dict[str, MemberState] = {own.host_id: MemberState.ALIVE}
        self._incarnations: dict[str, int] = {}
        self._listeners: list[Callable[[Host, bool], None]] = []

    def update(
        self,
        host: Host,
        live: bool,
        *,
        state: MemberState | None = None,
        incarnation: int = 0,
    ) -> None:
        """Add a host or change its liveness.

        :param host: the host.
        :param live: true unless membership reports the host as dead, unreachable or removed.
        :param state: state in membership, ``None`` to derive it from ``live``.
        :param incarnation: highest known incarnation.
        """
        before = host.host_id in self._live
        self._known[host.host_id] = host
        self._states[host.host_id] = state or (MemberState.ALIVE if live else MemberState.DEAD)
        self._incarnations[host.host_id] = incarnation
        if live:
            self._live.add(host.host_id)
        else:
            self._live.discard(host.host_id)
        if before != live:
            for listener in self._listeners:
                listener(host, live)

    def forget(self, host_id: str) -> None:
        """Remove a host that membership has removed.

        :param host_id: name of the host.
        """
        host = self._known.get(host_id)
        if host is None or host_id == self.own.host_id:
            return
        self.update(host, live=False)
        del self._known[host_id]
        del self._states[host_id]
        del self._incarnations[host_id]

    def add_listener(self, listener: Callable[[Host, bool], None]) -> None:
        """Register a listener for changes of a host's liveness.

        :param listener: called with the host and its new liveness; must not block.
        """
        self._listeners.append(listener)

    def get(self, host_id: str) -> Host | None:
        """Return a known host, live or not.

        :param host_id: name of the host.
        """
        return self._known.get(host_id)

    def is_live(self, host_id: str) -> bool:
        """Return whether a host is considered live.

        :param host_id: name of the host.
        """
        return host_id in self._live

    def get_state(self, host_id: str) -> MemberState | None:
        """Return the state of a known host in membership.

        :param host_id: name of the host.
        """
        return self._states.get(host_id)

    def get_incarnation(self, host_id: str) -> int:
        """Return the highest known incarnation of a host, 0 if there is none.

        :param host_id: name of the host.
        """
        return self._incarnations.get(host_id, 0)

    def is_responsible(self, key: CrashKey) -> bool:
        """Return true if this host, of all live ones, decides about a cause of crashes.

        A host that does not reach most of the others decides about nothing, or several would.

        :param key: the cause.
        """
        hosts = rank_hosts(key.digest.hex(), self.list_live())
        return 2 * len(hosts) > len(self._known) and hosts[0].host_id == self.own.host_id

    def list_live(self) -> list[Host]:
        """Return all live hosts, this one included."""
        return [self._known[host_id] for host_id in sorted(self._live)]

    def list_known(self) -> list[Host]:
        """Return all known hosts, live or not."""
        return [self._known[host_id] for host_id in sorted(self._known)]

    def list_peers(self) -> list[Host]:
        """Return the live hosts other than this one."""
        return [host for host in self.list_live() if host.host_id != self.own.host_id]
