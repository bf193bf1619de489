"""Call handling of several daemons in one process, with an in-memory store and loopback HTTP."""

import socket
from collections import Counter

import attrs
import trio

from gypsumpost_bench.memory_store import MemoryStore
from gypsumpost_bench.service_application import ServiceApplication
from gypsumpost_bench.stand_in_http import serve_application
from gypsumpost_core.host import Host
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.routing.endpoint_kind import EndpointKind
from gypsumpost_core.routing.router import Router
from gypsumpost_daemon.callers.caller_request import CallerRequest
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.calls import claim_batcher, direct_claims  # noqa: F401  registers the modes
from gypsumpost_daemon.calls.claim_mode import ClaimMode
from gypsumpost_daemon.calls.claims import create_claims
from gypsumpost_daemon.calls.service_calls import ServiceCalls
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.store.era_monitor import EraMonitor

SECRET = b"shared key of the bench"
SERVICE = "gate"
WORKSPACE = "riders"
CALL_SECONDS = 5.0


def find_free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@attrs.define(kw_only=True, eq=False)
class CallCluster:
    """``ServiceCalls`` of several daemons with their peers, a store and stand-in services.

    :param store: the store that all daemons share.
    :param claim_mode: name in the registry of claim modes.
    :param domains: failure domain of each daemon.
    :param service_count: number of stand-in services.
    :param body: body of the calls.
    """

    store: MemoryStore = attrs.field(factory=MemoryStore)
    claim_mode: str = "batched"
    domains: tuple[str, ...] = ("d1", "d1", "d2")
    service_count: int = 2
    body: bytes = b"{}"
    hosts: list[Host] = attrs.field(init=False, factory=list)
    directories: list[HostDirectory] = attrs.field(init=False, factory=list)
    modes: list[ClaimMode] = attrs.field(init=False, factory=list)
    signals: list[EndpointSignals] = attrs.field(init=False, factory=list)
    daemons: list[ServiceCalls] = attrs.field(init=False, factory=list)
    services: list[ServiceApplication] = attrs.field(init=False, factory=list)
    endpoints: list[Endpoint] = attrs.field(init=False, factory=list)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all services and daemons and wait until they listen.

        :param nursery: runs them until it is cancelled.
        """
        for number in range(self.service_count):
            await self._start_service(nursery, number)
        for number, domain in enumerate(self.domains):
            address = find_free_address()
            host = Host(host_id=f"h{number}", failure_domain=domain, peer_address=address)
            self.hosts.append(host)
        for host in self.hosts:
            await self._start_daemon(nursery, host)

    async def call(
        self,
        daemon: int,
        path: str = "/charges",
        method: str = "POST",
        **headers: str,
    ) -> CallerResponse:
        """Send a call to a daemon.

        :param daemon: index of the daemon.
        :param path: path at the service.
        :param method: HTTP method.
        :param headers: request headers, with underscores for hyphens.
        """
        request = CallerRequest(
            method=method,
            path=f"/v1/services/{SERVICE}{path}",
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            body=b"" if path == "/keys" else self.body,
            workspace=WORKSPACE,
            request_id="request",
            deadline=trio.current_time() + CALL_SECONDS,
        )
        return await self.daemons[daemon].handle(request)

    def count_executions(self) -> Counter[str]:
        """Return the number of executions of each call, summed over all services."""
        return sum((service.executions for service in self.services), Counter())

    async def _start_service(self, nursery: trio.Nursery, number: int) -> None:
        address = find_free_address()
        application = ServiceApplication(name=f"gate-{number}", end_process=lambda: None)
        nursery.start_soon(serve_application, application, address)
        self.services.append(application)
        self.endpoints.append(
            Endpoint(
                name=f"gate-{number}",
                kind=EndpointKind.SERVICE,
                address=address,
                failure_domain="d1",
                service=SERVICE,
            )
        )
        ip, _, port = address.rpartition(":")
        while True:
            try:
                await (await trio.open_tcp_stream(ip, int(port))).aclose()
                return
            except OSError:
                await trio.sleep(0.01)

    async def _start_daemon(self, nursery: trio.Nursery, host: Host) -> None:
        directory = HostDirectory(own=host)
        for other in self.hosts:
            directory.update(other, live=True)
        network = PeerNetwork(directory=directory, key=SECRET)
        eras = EraMonitor()
        store = self.store.for_domain(host.failure_domain, eras)
        mode = create_claims(
            self.claim_mode, directory=directory, network=network, store=store, eras=eras
        )
        router = Router(failure_domain=host.failure_domain)
        signals = EndpointSignals(directory=directory, peers=network, router=router)
        daemon = ServiceCalls(
            directory=directory,
            incarnation=1,
            network=network,
            claims=mode,
            secret=SECRET,
            list_endpoints=lambda: self.endpoints,
            signals=signals,
        )
        nursery.start_soon(signals.run)
        self.signals.append(signals)
        await nursery.start(network.run)
        await nursery.start(daemon.run)
        self.directories.append(directory)
        self.modes.append(mode)
        self.daemons.append(daemon)
