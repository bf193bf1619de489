"""Task that polls the platform's list of hosts and endpoints."""

import math
import random
from collections.abc import Callable

import httpcore
import trio
from result import Err, Ok, Result

from gypsumpost_daemon.peers.host_list_parser import parse_host_list
from gypsumpost_daemon.peers.host_list_snapshot import HostListSnapshot
from gypsumpost_daemon.telemetry.log import Log

POLL_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 8.0
REQUEST_SECONDS = 2.0

HostListListener = Callable[[HostListSnapshot], None]

LOG = Log(prefix="gossip")


class HostList:
    """Polls the list and keeps the last one while the platform is unavailable.

    The list may be stale, so it provides seeds and planned changes but is no evidence of a death.

    :param platform_address: ``ip:port`` of the platform.
    :param rng: random number generator for the delay after an error.
    """

    def __init__(self, *, platform_address: str, rng: random.Random | None = None) -> None:
        self._url = f"http://{platform_address}/v1/hosts"
        self._rng = rng or random.Random()
        self._listeners: list[HostListListener] = []
        self._read_at = -math.inf
        self._failures = 0
        self.snapshot = HostListSnapshot()

    def add_listener(self, listener: HostListListener) -> None:
        """Register a listener for each list that is read.

        :param listener: called with the list even if it has not changed; must not block.
        """
        self._listeners.append(listener)

    def compute_age(self) -> float:
        """Return the seconds since the list was last read, infinite if it never was."""
        return trio.current_time() - self._read_at

    async def run(self) -> None:
        """Poll until cancelled."""
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                self._handle_result(await self._fetch(pool))
                await trio.sleep(self.compute_delay())

    def compute_delay(self) -> float:
        """Return the seconds until the next poll, longer and jittered after errors."""
        if not self._failures:
            return POLL_SECONDS
        # All daemons lose the platform at the same time; jitter spreads their next requests.
        longest = min(MAX_BACKOFF_SECONDS, POLL_SECONDS * 2.0**self._failures)
        return self._rng.uniform(POLL_SECONDS, longest)

    async def _fetch(self, pool: httpcore.AsyncConnectionPool) -> Result[HostListSnapshot, str]:
        with trio.move_on_after(REQUEST_SECONDS):
            try:
                response = await pool.request("GET", self._url)
            except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
                return Err(repr(error))
            if response.status != 200:
                return Err(f"status {response.status}")
            return parse_host_list(response.content)
        return Err(f"no answer within {REQUEST_SECONDS} s")

    def _handle_result(self, fetched: Result[HostListSnapshot, str]) -> None:
        if isinstance(fetched, Ok):
            self._accept(fetched.ok_value)
            return
        if not self._failures:
            LOG.write("cannot read the platform's host list", reason=fetched.err_value)
        self._failures += 1

    def _accept(self, snapshot: HostListSnapshot) -> None:
        if snapshot.rejected and snapshot.rejected != self.snapshot.rejected:
            LOG.write(
                "ignored malformed entries of the platform's host list", entries=snapshot.rejected
            )
        self._failures = 0
        self._read_at = trio.current_time()
        self.snapshot = snapshot
        for listener in self._listeners:
            listener(snapshot)
