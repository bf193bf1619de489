"""What endpoints that this daemon calls for its callers say about themselves in any answer."""

from collections.abc import Mapping, Sequence

import trio
from result import Err, Ok, Result

from gypsumpost_core.limits.known_limit import KnownLimit
from gypsumpost_core.limits.request_limits import RequestLimits
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.http.request_limit_header import parse_request_limit
from gypsumpost_daemon.http.retry_after import UNAVAILABLE, parse_retry_after
from gypsumpost_daemon.limits.permit_client import PermitClient
from gypsumpost_daemon.limits.permit_taker import PermitTaker
from gypsumpost_daemon.limits.permit_terms import AT_ONCE, PermitTerms
from gypsumpost_daemon.limits.signal_spreader import SignalSpreader
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_channel import PeerChannel
from gypsumpost_daemon.telemetry.line_limiter import LineLimiter
from gypsumpost_daemon.telemetry.log import Log

REQUEST_LIMIT_HEADER = "x-request-limit"
"""How many generations and calls a second an endpoint takes from all hosts together."""

LEAVING_HEADER = "x-endpoint-leaving"
"""``1`` if the endpoint ends soon and wants no new request."""

RETRY_AFTER_HEADER = "retry-after"
LOG_SECONDS = 1.0

LOG = Log(prefix="endpoint")


class EndpointSignals:
    """Applies limits, pauses and leaving of endpoints, tells peers, and takes permits.

    :param directory: the known hosts.
    :param peers: sends messages to other daemons.
    :param router: knows the processes of engines and the endpoints that leave.
    """

    def __init__(self, *, directory: HostDirectory, peers: PeerChannel, router: Router) -> None:
        self.limits = RequestLimits(own_id=directory.own.host_id)
        self.client = PermitClient(directory=directory, peers=peers, limits=self.limits)
        self._router = router
        self._taker = PermitTaker(limits=self.limits, client=self.client)
        self._spreader = SignalSpreader(
            limits=self.limits,
            directory=directory,
            peers=peers,
            mark_leaving=self._mark_leaving,
            handle_limits=self.client.wake,
        )
        self._closed_until: dict[str, float] = {}
        self._lines = LineLimiter(seconds=LOG_SECONDS)

    async def run(self) -> None:
        """Grant permits and tell peers what endpoints have said, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.client.run)
            nursery.start_soon(self._spreader.run)

    def observe(
        self, endpoint: Endpoint, status: int, headers: Mapping[str, str], sent_at: float
    ) -> None:
        """Apply the headers of an answer.

        :param endpoint: the endpoint that has sent it.
        :param status: status code.
        :param headers: headers by lower-case name.
        :param sent_at: monotonic time in seconds at which the request was sent.
        """
        self._observe_limit(endpoint, headers.get(REQUEST_LIMIT_HEADER), sent_at)
        pause = headers.get(RETRY_AFTER_HEADER)
        if status == UNAVAILABLE and pause is not None:
            self._close(endpoint, pause)
        if headers.get(LEAVING_HEADER) == "1" and self._mark_leaving(endpoint.name):
            LOG.write("an endpoint says that it leaves", endpoint=endpoint.name)
            self._spreader.tell_leaving(endpoint.name)

    def find_limit(self, endpoint: Endpoint) -> KnownLimit | None:
        """Return what is known of the limit of an endpoint, ``None`` if it has never named one.

        :param endpoint: the endpoint.
        """
        return self.limits.find(self._describe_process(endpoint))

    def find_pause_end(self, endpoint: Endpoint, now: float) -> float | None:
        """Return until when an endpoint wants no request of this host, ``None`` if it does.

        :param endpoint: the endpoint.
        :param now: monotonic time in seconds.
        """
        until = self._closed_until.get(self._describe_process(endpoint), now)
        return until if now < until else None

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return true if an endpoint has said that it leaves.

        :param endpoint: the endpoint.
        """
        return self._router.is_leaving(endpoint.name)

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return true if requests to an endpoint need a permit.

        :param endpoint: the endpoint.
        """
        return self._taker.is_limited(self._describe_process(endpoint))

    def is_full(self, endpoint: Endpoint, now: float) -> bool:
        """Return true if an endpoint has no room within its limit at the moment.

        :param endpoint: the endpoint.
        :param now: monotonic time in seconds.
        """
        return self._taker.is_full(self._describe_process(endpoint), now)

    async def take_any(
        self, group: str, endpoints: Sequence[Endpoint], terms: PermitTerms = AT_ONCE
    ) -> Result[Endpoint, float]:
        """Return the endpoint to which a request may be sent, see :class:`PermitTaker`.

        :param group: what the endpoints have in common; an endpoint is always in the same group.
        :param endpoints: endpoints in order of preference; at least one.
        :param terms: how the request may wait.
        :returns: the endpoint, or the monotonic time in seconds at which to come back.
        """
        processes = {self._describe_process(endpoint): endpoint for endpoint in endpoints}
        taken = await self._taker.take_any(group, list(processes), terms)
        return taken if isinstance(taken, Err) else Ok(processes[taken.ok_value])

    def _describe_process(self, endpoint: Endpoint) -> str:
        # Plain services report no boot id; an answer without a limit lifts that of an earlier one.
        if endpoint.kind is EndpointKind.SERVICE:
            return endpoint.name
        return f"{endpoint.name}/{self._router.get_boot_id(endpoint.name) or ''}"

    def _observe_limit(self, endpoint: Endpoint, value: str | None, sent_at: float) -> None:
        now, key = trio.current_time(), self._describe_process(endpoint)
        parsed = parse_request_limit([] if value is None else [value.encode("latin-1")])
        if isinstance(parsed, Err) and self._lines.allow(key, now):
            LOG.write("ignored a limit", process=key, reason=parsed.err_value)
        per_second = None if isinstance(parsed, Err) else parsed.ok_value
        if not self.limits.observe(key, per_second, sent_at=sent_at, now=now):
            return
        if self._lines.allow(key, now):
            LOG.write("an endpoint has changed its limit", process=key, per_second=per_second)
        self._spreader.wake()
        self.client.wake()

    def _close(self, endpoint: Endpoint, value: str) -> None:
        seconds = parse_retry_after(value.encode("latin-1"))
        LOG.write("an endpoint asks for a pause", endpoint=endpoint.name, seconds=seconds)
        if seconds is not None:
            now = trio.current_time()
            self._closed_until = {key: at for key, at in self._closed_until.items() if now < at}
            self._closed_until[self._describe_process(endpoint)] = now + seconds

    def _mark_leaving(self, name: str) -> bool:
        """Mark an endpoint as leaving, and return true if this was not known before."""
        if self._router.is_leaving(name):
            return False
        self._router.mark_leaving(name, trio.current_time())
        return True
