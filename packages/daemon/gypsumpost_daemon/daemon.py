"""Assembles and runs the components of the daemon."""

import random

import trio

from gypsumpost_core.generations.resumption_policies import RESUMPTION
from gypsumpost_core.generations.retry_budget import RetryBudget
from gypsumpost_core.host import Host
from gypsumpost_core.key_ring import KeyRing
from gypsumpost_core.membership.membership_settings import MembershipSettings
from gypsumpost_core.memory.host_bounds import (
    MEGABYTE,
    compute_held_bytes,
    compute_max_connections,
)
from gypsumpost_core.memory.memory_account import MemoryAccount
from gypsumpost_core.routing.router import Router
from gypsumpost_core.suspicion.crash_suspicion import CrashSuspicion
from gypsumpost_daemon.callers.access_control import AccessControl
from gypsumpost_daemon.callers.caller_application import CallerApplication
from gypsumpost_daemon.callers.settings_access import SettingsAccess
from gypsumpost_daemon.copies.copy_client import CopyClient
from gypsumpost_daemon.copies.copy_store import CopyStore
from gypsumpost_daemon.copies.take_over_client import TakeOverClient
from gypsumpost_daemon.crashes.crash_causes import CrashCauses
from gypsumpost_daemon.credentials.keys import Keys
from gypsumpost_daemon.daemon_gauges import add_gauges
from gypsumpost_daemon.engines.endpoint_table import EndpointTable
from gypsumpost_daemon.engines.engine_client import EngineClient
from gypsumpost_daemon.engines.engine_prober import EngineProber
from gypsumpost_daemon.garbage_collector import configure_garbage_collector
from gypsumpost_daemon.generations.generation_context import GenerationContext
from gypsumpost_daemon.generations.generation_metrics import GenerationMetrics
from gypsumpost_daemon.generations.generation_supervisor import GenerationSupervisor
from gypsumpost_daemon.generations.idempotency_key_client import IdempotencyKeyClient
from gypsumpost_daemon.generations.idempotency_key_directory import IdempotencyKeyDirectory
from gypsumpost_daemon.generations.stream_canceller import StreamCanceller
from gypsumpost_daemon.http.http_server import HTTP_SERVERS
from gypsumpost_daemon.http.overload_guard import OverloadGuard
from gypsumpost_daemon.http.running_server import RunningServer
from gypsumpost_daemon.lifecycle.process_signals import ProcessSignals
from gypsumpost_daemon.limits.admission_gate import AdmissionGate
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.limits.limit_gauges import add_limit_gauges
from gypsumpost_daemon.peers.gossip import Gossip
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.platform_components import PlatformComponents
from gypsumpost_daemon.settings import Settings
from gypsumpost_daemon.suspicion.crash_guard import CrashGuard
from gypsumpost_daemon.suspicion.crash_reporter import CrashReporter
from gypsumpost_daemon.telemetry.log import Log
from gypsumpost_daemon.telemetry.metrics import Metrics

LOG = Log(prefix="daemon")


async def serve_daemon(settings: Settings) -> None:
    """Run a daemon until a planned stop.

    :param settings: checked settings.
    """
    await Daemon(settings=settings).run()


class Daemon:
    """All components of one daemon.

    :param settings: checked settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._signals = ProcessSignals(reload=ignore_reload)
        own = Host(
            host_id=settings.host_id,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            gossip_address=settings.gossip_address,
            api_address=settings.api_address,
        )
        self._directory = HostDirectory(own=own)
        self._keys = Keys(settings=settings)
        key = self._keys.ring
        self._network = PeerNetwork(directory=self._directory, key=key, tls=self._keys.peer_tls)
        self._endpoints = EndpointTable()
        self._gossip = self._create_gossip(key)
        self._router = Router(failure_domain=own.failure_domain, policy=settings.routing)
        self._router.update_endpoints(self._endpoints.list_all(), trio.current_time())
        self._metrics = Metrics()
        self._max_connections = compute_max_connections(settings.max_descriptors)
        self._guard = OverloadGuard(account=self._create_account(), metrics=self._metrics)
        self._engines = EngineClient(transport=settings.engine_transport, guard=self._guard)
        self._endpoint_signals = EndpointSignals(
            directory=self._directory, peers=self._network, router=self._router
        )
        self._platform: PlatformComponents | None = None
        self._access: AccessControl = SettingsAccess(keys=settings.workspace_keys)
        if settings.platform_address:
            self._platform = self._create_platform_components(key.current)
            self._access = self._platform.access
        self._canceller = StreamCanceller(engines=self._engines)
        self._suspicion = CrashSuspicion()
        causes = CrashCauses(is_responsible=self._directory.is_responsible)
        self._reporter = CrashReporter(
            suspicion=self._suspicion,
            causes=causes,
            directory=self._directory,
            peers=self._network,
        )
        self._crashes = CrashGuard(
            suspicion=self._suspicion,
            router=self._router,
            engines=self._engines,
            causes=causes,
            handle_change=self._reporter.wake,
        )
        self._admission = AdmissionGate(router=self._router, directory=self._directory)
        self._copy_store = CopyStore(max_bytes=settings.held_bytes)
        self._idempotency_keys = IdempotencyKeyDirectory()
        self._copy_client = CopyClient(
            directory=self._directory, network=self._network, placement=settings.copy_placement
        )
        self._supervisor = self._create_supervisor()
        self._application = self._create_application()
        self._add_gauges()

    async def run(self) -> None:
        """Serve until a signal, then stop accepting work and wait for requests up to a deadline."""
        self._add_handlers()
        configure_garbage_collector()
        async with trio.open_nursery() as nursery:
            await nursery.start(self._signals.run, nursery.cancel_scope)
            await nursery.start(self._network.run)
            await nursery.start(self._gossip.run)
            if self._platform is not None:
                await nursery.start(self._platform.run)
            await nursery.start(self._canceller.run)
            await nursery.start(self._copy_client.run)
            await nursery.start(self._reporter.run)
            await nursery.start(self._supervisor.run)
            self._start_background(nursery)
            self._signals.record_serving()
            server = await self._start_server(nursery)
            LOG.write("ready", address=server.address)
            await self._wait_for_stop(server)
            await self._gossip.leave()
            nursery.cancel_scope.cancel()
        LOG.write("stopped", open_requests=self._application.open_requests)

    def _create_account(self) -> MemoryAccount:
        memory_bytes = int(self._settings.memory_mb * MEGABYTE)
        own_bytes = self._settings.held_bytes + self._settings.replay_bytes
        return MemoryAccount(
            bound=compute_held_bytes(memory_bytes, self._max_connections, own_bytes)
        )

    def _create_supervisor(self) -> GenerationSupervisor:
        resumption = RESUMPTION.create(
            self._settings.resumption, resume_weight=self._settings.resume_weight
        )
        return GenerationSupervisor(
            host_id=self._settings.host_id,
            context=GenerationContext(
                settings=self._settings,
                router=self._router,
                resumption=resumption,
                engines=self._engines,
                copies=self._copy_client,
                canceller=self._canceller,
                metrics=GenerationMetrics(metrics=self._metrics),
                crash_guard=self._crashes,
                retry_budget=RetryBudget(rng=random.Random()),
                admission=self._admission,
                signals=self._endpoint_signals,
            ),
            copies=self._copy_store,
            take_over_client=TakeOverClient(directory=self._directory, network=self._network),
            access=self._access,
        )

    def _create_application(self) -> CallerApplication:
        return CallerApplication(
            settings=self._settings,
            supervisor=self._supervisor,
            keys=IdempotencyKeyClient(
                directory=self._directory, network=self._network, own_entries=self._idempotency_keys
            ),
            access=self._access,
            admission=self._admission,
            list_models=self._endpoints.list_models,
            handle_service=self._platform.calls.handle if self._platform else None,
            metrics=self._metrics,
            guard=self._guard,
        )

    def _add_gauges(self) -> None:
        add_limit_gauges(
            self._metrics,
            limits=self._endpoint_signals.limits,
            desk=self._endpoint_signals.client.desk,
        )
        add_gauges(
            self._metrics,
            copies=self._copy_store,
            supervisor=self._supervisor,
            directory=self._directory,
            get_list_revision=lambda: self._platform.lists.revision if self._platform else 0,
            count_open_requests=lambda: self._application.open_requests,
        )

    def _create_gossip(self, key: KeyRing) -> Gossip:
        settings = self._settings
        listed = settings.host_list_file
        self._endpoints.replace(list(listed.endpoints))
        return Gossip(
            directory=self._directory,
            key=key,
            settings=MembershipSettings(
                probe_interval=settings.probe_interval, probe_timeout=settings.probe_timeout
            ),
            seeds=[*settings.seeds, *(entry.host for entry in listed.hosts)],
        )

    def _create_platform_components(self, key: bytes) -> PlatformComponents:
        return PlatformComponents(
            settings=self._settings,
            directory=self._directory,
            network=self._network,
            gossip=self._gossip,
            endpoints=self._endpoints,
            router=self._router,
            engines=self._engines,
            signals=self._endpoint_signals,
            list_running=lambda: self._supervisor.list_running(),
            secret=key,
        )

    def _add_handlers(self) -> None:
        add = self._network.add_handler
        add(MessageKind.APPEND_COPIES, self._copy_store.handle_batch)
        add(MessageKind.TAKE_OVER, self._supervisor.handle_take_over)
        add(MessageKind.REGISTER_KEY, self._idempotency_keys.handle)

    def _start_background(self, nursery: trio.Nursery) -> None:
        prober = EngineProber(
            router=self._router,
            engines=self._engines,
            find_endpoint=self._endpoints.find,
            list_dead=self._crashes.list_probe_targets,
        )
        nursery.start_soon(prober.run)
        nursery.start_soon(self._admission.run)
        nursery.start_soon(self._endpoint_signals.run)
        nursery.start_soon(self._copy_store.run)
        nursery.start_soon(self._idempotency_keys.run)
        nursery.start_soon(self._keys.run)

    async def _start_server(self, nursery: trio.Nursery) -> RunningServer:
        async def serve(task_status: trio.TaskStatus[RunningServer]) -> None:
            await HTTP_SERVERS.create(
                self._settings.http_server,
                application=self._application,
                address=self._settings.api_address,
                max_body=self._settings.max_body,
                tls=self._keys.caller_context,
                guard=self._guard,
                max_connections=self._max_connections,
                task_status=task_status,
            )

        server: RunningServer = await nursery.start(serve)
        return server

    async def _wait_for_stop(self, server: RunningServer) -> None:
        await self._signals.stop_requested.wait()
        deadline = trio.current_time() + self._settings.stop_deadline
        LOG.write("stopping", open_requests=self._application.open_requests)
        self._application.draining = True
        self._endpoint_signals.client.stop_coordinating()
        server.stop(deadline)
        with trio.move_on_at(deadline):
            while self._application.open_requests or self._supervisor.running:
                await trio.sleep(0.05)


def ignore_reload() -> None:
    """Say that there is nothing to read again."""
    LOG.write("ignored a reload: keys and host lists are read when their files change")
