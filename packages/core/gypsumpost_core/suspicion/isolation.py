"""Reservation of engines for the isolated runs of suspected requests."""

from collections.abc import Iterable

import attrs
import xxhash

from gypsumpost_core.routing.run_table import RunTable
from gypsumpost_core.suspicion.suspicion_settings import SuspicionSettings


@attrs.define(kw_only=True)
class Reservation:
    """A reserved engine, to which this daemon sends no other new requests.

    :param engine: name of the engine.
    :param ready_at: monotonic time in seconds from which the isolated run may start even if other
        requests still run there.
    :param expires_at: monotonic time in seconds at which the engine is released unless it is
        reserved for the request again.
    """

    engine: str
    ready_at: float
    expires_at: float


@attrs.define(kw_only=True)
class Isolation:
    """Reservations of this daemon by fingerprint.

    :param settings: settings of the crash suspicion.
    """

    settings: SuspicionSettings
    _reservations: dict[str, Reservation] = attrs.field(factory=dict)

    def list_reserved(self, now: float) -> frozenset[str]:
        """Return the engines that other requests must not use."""
        self._drop_expired(now)
        return frozenset(reservation.engine for reservation in self._reservations.values())

    def reserve(
        self, fingerprint: str, engines: Iterable[str], runs: RunTable, now: float
    ) -> str | None:
        """Reserve the engine with the fewest running requests for a suspected request.

        :param fingerprint: fingerprint of the request.
        :param engines: engines that can run it.
        :param runs: requests of this daemon that run on each engine.
        :param now: monotonic time in seconds.
        :returns: the engine if the request may start there now, ``None`` if it must wait.
        """
        self._drop_expired(now)
        reservation = self._reservations.get(fingerprint)
        if reservation is None:
            reservation = self._create(fingerprint, engines, runs, now)
        if reservation is None:
            return None
        reservation.expires_at = now + 2 * self.settings.trigger_window
        free = runs.count(reservation.engine) == 0
        return reservation.engine if free or now >= reservation.ready_at else None

    def release(self, fingerprint: str) -> None:
        """Release the engine of a request."""
        self._reservations.pop(fingerprint, None)

    def release_engine(self, engine: str) -> None:
        """Release an engine that has died or is held by another daemon."""
        for fingerprint, reservation in list(self._reservations.items()):
            if reservation.engine == engine:
                del self._reservations[fingerprint]

    def _create(
        self, fingerprint: str, engines: Iterable[str], runs: RunTable, now: float
    ) -> Reservation | None:
        reserved = {reservation.engine for reservation in self._reservations.values()}
        usable = sorted(engine for engine in engines if engine not in reserved)
        # At least one engine remains available to requests that are not suspected.
        if len(reserved) >= self.settings.reserved_engines or len(usable) < 2:
            return None
        # The digest breaks ties differently for each request, to spread them over the engines.
        engine = min(usable, key=lambda name: (runs.count(name), _digest(fingerprint, name)))
        ready_at = now + self.settings.isolation_wait
        reservation = Reservation(engine=engine, ready_at=ready_at, expires_at=now)
        self._reservations[fingerprint] = reservation
        return reservation

    def _drop_expired(self, now: float) -> None:
        for fingerprint, reservation in list(self._reservations.items()):
            if now >= reservation.expires_at:
                del self._reservations[fingerprint]


def _digest(fingerprint: str, engine: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{fingerprint}\0{engine}".encode())
