"""Pool of idle connections to endpoints."""

from gypsumpost_daemon.engines.h11_engine_connection import H11EngineConnection

IDLE_SECONDS = 15.0
MAX_IDLE_PER_ADDRESS = 2
MAX_ADDRESSES = 256


class IdleConnections:
    """Keeps up to ``MAX_IDLE_PER_ADDRESS`` connections per endpoint for a limited time."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[float, H11EngineConnection]]] = {}

    def put(
        self,
        address: str,
        connection: H11EngineConnection,
        now: float,
        *,
        seconds: float = IDLE_SECONDS,
    ) -> None:
        """Add a connection whose last response was read to its end.

        :param address: ``ip:port`` of the endpoint.
        :param connection: the connection.
        :param now: monotonic time in seconds.
        :param seconds: how long it may be used again.
        """
        # Keeps the addresses ordered by last use, least recent first.
        entries = self._idle.pop(address, [])
        self._idle[address] = entries
        entries.append((now + seconds, connection))
        if len(entries) > MAX_IDLE_PER_ADDRESS:
            entries.pop(0)[1].close()
        if len(self._idle) > MAX_ADDRESSES:
            self._close_address(next(iter(self._idle)))

    def take(self, address: str, now: float) -> H11EngineConnection | None:
        """Remove and return a usable connection, ``None`` if there is none.

        :param address: ``ip:port`` of the endpoint.
        :param now: monotonic time in seconds.
        """
        entries = self._idle.pop(address, [])
        while entries:
            deadline, connection = entries.pop()
            if now < deadline and connection.is_usable():
                if entries:
                    self._idle[address] = entries
                return connection
            connection.close()
        return None

    def close_expired(self, now: float) -> None:
        """Close the connections that may not be used any more; endpoints bound their number.

        :param now: monotonic time in seconds.
        """
        for address, entries in list(self._idle.items()):
            self._idle[address] = [entry for entry in entries if now < entry[0]]
            for deadline, connection in entries:
                if now >= deadline:
                    connection.close()
            if not self._idle[address]:
                del self._idle[address]

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._idle):
            self._close_address(address)

    def _close_address(self, address: str) -> None:
        for _, connection in self._idle.pop(address):
            connection.close()
