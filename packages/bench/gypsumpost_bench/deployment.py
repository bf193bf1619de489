"""A complete deployment as processes on this machine."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from types import TracebackType

import attrs
import httpcore
import trio

from gypsumpost_bench.deployment_lists import ADMIN_KEY, KEYS, apply_lists
from gypsumpost_bench.deployment_plan import DeploymentPlan
from gypsumpost_bench.ports import reserve_addresses
from gypsumpost_bench.running_process import RunningProcess

START_SECONDS = 20.0
MODEL = {"model": "summary", "version": "1", "adapter": ""}
SERVICE = "gate"


@attrs.define(kw_only=True)
class Deployment:
    """Starts all processes, and kills them by process id when the context exits.

    :param plan: the processes to start.
    """

    plan: DeploymentPlan
    engines: dict[str, RunningProcess] = attrs.field(factory=dict, init=False)
    daemons: dict[str, RunningProcess] = attrs.field(factory=dict, init=False)
    services: dict[str, RunningProcess] = attrs.field(factory=dict, init=False)
    platform: RunningProcess | None = attrs.field(default=None, init=False)
    admin_addresses: list[str] = attrs.field(factory=list, init=False)
    directory: Path = attrs.field(init=False)
    _temporary_directory: tempfile.TemporaryDirectory[str] = attrs.field(init=False)

    async def __aenter__(self) -> "Deployment":
        """Start all processes and wait until they are ready."""
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="gypsumpost-")
        self.directory = Path(self._temporary_directory.name)
        try:
            await self._start_all()
        except BaseException:
            self._kill_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes and delete their files."""
        self._kill_all()

    def list_addresses(self) -> list[str]:
        """Return the caller addresses (``ip:port``) of all daemons."""
        return [daemon.address for daemon in self.daemons.values()]

    def restart(self, running: RunningProcess) -> None:
        """Start an ended process again with the same command and address.

        :param running: the process; it is changed in place.
        """
        running.incarnation += 1
        running.process = self._spawn_process(self.get_output_path(running), running.command)

    def get_output_path(self, running: RunningProcess) -> Path:
        """Return the file with the output of the current incarnation of a process.

        :param running: the process.
        """
        return self.directory / f"{running.name}.{running.incarnation}.out"

    async def _start_all(self) -> None:
        self._start_engines()
        self._start_services()
        hosts, path = self._write_host_list()
        if self.plan.platform:
            await self._start_platform(path)
        for host in hosts:
            self._start_daemon(host, path)
        for endpoint in (*self.engines.values(), *self.services.values()):
            await wait_until_serving(endpoint, "/load")
        for daemon in self.daemons.values():
            await wait_until_serving(daemon, "/ready")
        if self.plan.platform:
            await apply_lists(self.admin_addresses[0], len(hosts))

    def _start_services(self) -> None:
        count = len(self.plan.domains) * self.plan.services
        for number, address in enumerate(reserve_addresses(count)):
            name = f"{SERVICE}-{number + 1}"
            module = "gypsumpost_bench.service_stand_in"
            flags = ["-m", module, "--address", address, "--name", name]
            flags += ["--execution-log", str(self.directory / f"{name}.executions")]
            self.services[name] = self._start(name, address, flags)

    async def _start_platform(self, path: Path) -> None:
        (address,) = reserve_addresses(1)
        module = "gypsumpost_bench.platform_stand_in"
        flags = ["-m", module, "--address", address, "--hosts-file", str(path)]
        self.platform = self._start("platform", address, flags)
        await wait_until_serving(self.platform, "/v1/hosts")

    def _start_engines(self) -> None:
        addresses = reserve_addresses(len(self.plan.token_gaps))
        for number, (address, gap) in enumerate(zip(addresses, self.plan.token_gaps, strict=True)):
            name = f"engine-{number + 1}"
            flags = ["--name", name, "--address", address, "--token-gap", str(gap)]
            flags += ["--counter-file", str(self.directory / f"{name}.count")]
            module = "gypsumpost_bench.engine_stand_in"
            self.engines[name] = self._start(name, address, ["-m", module, *flags])

    def _write_host_list(self) -> tuple[list[dict[str, str]], Path]:
        names = [
            (f"{domain}-host{number + 1}", domain)
            for domain in self.plan.domains
            for number in range(self.plan.hosts_per_domain)
        ]
        addresses = reserve_addresses(3 * len(names))
        hosts = [
            {
                "id": name,
                "failure_domain": domain,
                "api_address": addresses[3 * number],
                "peer_address": addresses[3 * number + 1],
                "gossip_address": addresses[3 * number + 2],
                "status": "live",
            }
            for number, (name, domain) in enumerate(names)
        ]
        path = self.directory / "hosts.json"
        path.write_text(json.dumps({"hosts": hosts, "endpoints": self._describe_endpoints()}))
        return hosts, path

    def _start_daemon(self, host: dict[str, str], path: Path) -> None:
        name = host["id"]
        flags = ["--host-id", name, "--failure-domain", host["failure_domain"]]
        for flag in ("api_address", "peer_address", "gossip_address"):
            flags += ["--" + flag.replace("_", "-"), host[flag]]
        flags += self._create_access_flags(path)
        flags += ["--log-file", str(self.directory / f"{name}.log"), *self.plan.daemon_flags]
        arguments = ["-c", self.plan.daemon_code, *flags]
        self.daemons[name] = self._start(name, host["api_address"], arguments)

    def _create_access_flags(self, path: Path) -> list[str]:
        if self.platform is None:
            keys = ",".join(f"{workspace}={key}" for workspace, key in KEYS.items())
            return ["--host-list-file", str(path), "--workspace-keys", keys]
        key_file = self.directory / "admin.key"
        key_file.write_text(ADMIN_KEY)
        (admin_address,) = reserve_addresses(1)
        self.admin_addresses.append(admin_address)
        flags = ["--platform-address", self.platform.address]
        return [*flags, "--admin-address", admin_address, "--admin-key-file", str(key_file)]

    def _describe_endpoints(self) -> list[dict[str, object]]:
        return self._describe_engines() + self._describe_services()

    def _describe_services(self) -> list[dict[str, object]]:
        return [
            {
                "name": name,
                "kind": "service",
                "service": SERVICE,
                "address": service.address,
                "failure_domain": self.plan.domains[number % len(self.plan.domains)],
                "status": "live",
                "models": [],
            }
            for number, (name, service) in enumerate(self.services.items())
        ]

    def _describe_engines(self) -> list[dict[str, object]]:
        addresses = {name: engine.address for name, engine in self.engines.items()}
        for number, address in enumerate(self.plan.engine_addresses):
            addresses[f"given-engine-{number + 1}"] = address
        return [
            {
                "name": name,
                "kind": "engine",
                "address": address,
                "failure_domain": self.plan.domains[number % len(self.plan.domains)],
                "status": "live",
                "models": [MODEL],
            }
            for number, (name, address) in enumerate(addresses.items())
        ]

    def _start(self, name: str, address: str, arguments: list[str]) -> RunningProcess:
        command = [sys.executable, *arguments]
        process = self._spawn_process(self.directory / f"{name}.1.out", command)
        return RunningProcess(name=name, address=address, process=process, command=command)

    @staticmethod
    def _spawn_process(path: Path, command: list[str]) -> subprocess.Popen[bytes]:
        with open(path, "wb") as output:
            return subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
            )

    def _kill_all(self) -> None:
        started = [*self.daemons.values(), *self.engines.values(), *self.services.values()]
        if self.platform is not None:
            started.append(self.platform)
        for process in started:
            process.kill()
        self._temporary_directory.cleanup()


async def wait_until_serving(process: RunningProcess, path: str) -> None:
    """Wait until a process answers with status 200.

    :param process: a process that was just started.
    :param path: path of the request.
    :raises RuntimeError: if the process exits.
    :raises trio.TooSlowError: after ``START_SECONDS``.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(START_SECONDS):
            while True:
                try:
                    response = await pool.request("GET", f"http://{process.address}{path}")
                    if response.status == 200:
                        return
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass
                if process.process.poll() is not None:
                    raise RuntimeError(
                        f"{process.name} exited with status {process.process.returncode}"
                    )
                await trio.sleep(0.05)
