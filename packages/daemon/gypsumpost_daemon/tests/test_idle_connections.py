"""Tests of the pool of idle connections."""

from gypsumpost_daemon.engines.idle_connections import IdleConnections


class FakeConnection:
    """Stands for a connection and records whether it is closed."""

    def __init__(self):
        self.closed = False

    def is_usable(self):
        """Return true, as the endpoint keeps its end open."""
        return True

    def close(self):
        """Record the end."""
        self.closed = True


def test_expired_connections_are_closed():
    """Guards against idle connections that take places which the endpoint has for others."""
    idle, short, long = IdleConnections(), FakeConnection(), FakeConnection()
    idle.put("1.2.3.4:5", short, 10.0, seconds=0.5)  # type: ignore[arg-type]
    idle.put("1.2.3.4:6", long, 10.0, seconds=2.0)  # type: ignore[arg-type]
    idle.close_expired(11.0)
    assert short.closed and not long.closed
    assert idle.take("1.2.3.4:5", 11.0) is None
    assert idle.take("1.2.3.4:6", 11.0) is long
