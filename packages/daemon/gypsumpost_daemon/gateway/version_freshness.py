"""Tells whether the configuration in force is known to be the newest."""

import trio

from gypsumpost_core.gateway.store_confirmation import StoreConfirmation
from gypsumpost_core.gateway.version_lag import VersionLag


class VersionFreshness:
    """Compares the version in force with what the peers and the store say of newer ones."""

    def __init__(self) -> None:
        self._applied = 0
        self._lag = VersionLag()
        self._confirmation = StoreConfirmation()

    def record_applied(self, version: int) -> float:
        """Record the version that is now in force; return for how long a newer one was known.

        :param version: the version.
        """
        self._applied = version
        self._confirmation.record_applied(version)
        return self._lag.record_applied(version, trio.current_time())

    def record_named(self, version: int) -> None:
        """Record the version that a peer has in force.

        :param version: the peer's version.
        """
        self._lag.record_named(version, self._applied, trio.current_time())

    def record_confirmation(self, version: int, confirmed_at: float) -> None:
        """Record that the store had no newer version at some moment.

        :param version: the version.
        :param confirmed_at: the moment, as monotonic time in seconds.
        """
        self._confirmation.record(version, confirmed_at, applied=self._applied)

    def is_behind(self) -> bool:
        """Return true if a peer has a newer version in force, as far as is known."""
        return self._lag.is_behind(trio.current_time())

    def is_confirmed(self) -> bool:
        """Return true if the store has confirmed lately that no newer version exists."""
        return self._confirmation.is_recent(trio.current_time())

    def may_be_behind(self) -> bool:
        """Return true unless the version in force is known to be the newest."""
        return self.is_behind() or not self.is_confirmed()

    def compute_confirmation_age(self) -> float:
        """Return the age in seconds of the store's last confirmation, infinity if there is none."""
        return self._confirmation.compute_age(trio.current_time())

    def compute_lag(self) -> float:
        """Return for how many seconds a newer version has been known, 0 if none is."""
        return self._lag.compute(trio.current_time())
