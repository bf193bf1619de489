"""A whole deployment as processes on this machine."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from types import TracebackType

import attrs
import httpcore
import trio

from gypsumpost_bench.ports import reserve_addresses
from gypsumpost_bench.running_process import RunningProcess

START_SECONDS = 20.0
MODEL = {"model": "summary", "version": "1", "adapter": ""}
KEYS = {"laurentides": "key-laurentides", "filers": "key-filers"}


@attrs.frozen(kw_only=True)
class DeploymentPlan:
    """What to start.

    :param domains: names of the failure domains.
    :param hosts_per_domain: daemons in each domain.
    :param token_gaps: seconds between tokens of each engine; engines go to the domains in turn.
    :param daemon_flags: further flags of the daemons.
    :param engine_addresses: addresses of engines that run already, besides those of
        ``token_gaps``.
    :param daemon_code: what the daemons' interpreter runs.
    """

    domains: tuple[str, ...] = ("d1", "d2", "d3")
    hosts_per_domain: int = 1
    token_gaps: tuple[float, ...] = (0.042, 0.042, 0.042)
    daemon_flags: tuple[str, ...] = ()
    engine_addresses: tuple[str, ...] = ()
    daemon_code: str = "import gypsumpost_daemon.main as m; m.main()"


@attrs.define(kw_only=True)
class Deployment:
    """Starts all processes and ends them, by id, when it is left.

    :param plan: what to start.
    """

    plan: DeploymentPlan
    engines: dict[str, RunningProcess] = attrs.field(factory=dict, init=False)
    daemons: dict[str, RunningProcess] = attrs.field(factory=dict, init=False)
    directory: Path = attrs.field(init=False)
    _folder: tempfile.TemporaryDirectory[str] = attrs.field(init=False)

    async def __aenter__(self) -> "Deployment":
        """Start all processes and wait until they answer."""
        self._folder = tempfile.TemporaryDirectory(prefix="gypsumpost-")
        self.directory = Path(self._folder.name)
        try:
            self._start_engines()
            self._start_daemons()
            for engine in self.engines.values():
                await wait_until_serving(engine, "/load")
            for daemon in self.daemons.values():
                await wait_until_serving(daemon, "/ready")
        except BaseException:
            self._end_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        self._end_all()

    def list_addresses(self) -> list[str]:
        """Return the callers' addresses of all daemons."""
        return [daemon.address for daemon in self.daemons.values()]

    def _start_engines(self) -> None:
        addresses = reserve_addresses(len(self.plan.token_gaps))
        for number, (address, gap) in enumerate(zip(addresses, self.plan.token_gaps, strict=True)):
            name = f"engine-{number + 1}"
            flags = ["--name", name, "--address", address, "--token-gap", str(gap)]
            flags += ["--counter-file", str(self.directory / f"{name}.count")]
            module = "gypsumpost_bench.engine_stand_in"
            self.engines[name] = self._start(name, address, ["-m", module, *flags])

    def _start_daemons(self) -> None:
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
        for host in hosts:
            self._start_daemon(host, path)

    def _start_daemon(self, host: dict[str, str], path: Path) -> None:
        name = host["id"]
        keys = ",".join(f"{workspace}={key}" for workspace, key in KEYS.items())
        flags = ["--host-id", name, "--failure-domain", host["failure_domain"]]
        for flag in ("api_address", "peer_address", "gossip_address"):
            flags += ["--" + flag.replace("_", "-"), host[flag]]
        flags += ["--host-list-file", str(path), "--workspace-keys", keys]
        flags += ["--log-file", str(self.directory / f"{name}.log"), *self.plan.daemon_flags]
        arguments = ["-c", self.plan.daemon_code, *flags]
        self.daemons[name] = self._start(name, host["api_address"], arguments)

    def _describe_endpoints(self) -> list[dict[str, object]]:
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
        with open(self.directory / f"{name}.out", "wb") as output:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        return RunningProcess(name=name, address=address, process=process)

    def _end_all(self) -> None:
        for process in (*self.daemons.values(), *self.engines.values()):
            process.kill()
        self._folder.cleanup()


async def wait_until_serving(process: RunningProcess, path: str) -> None:
    """Wait until a process answers.

    :param process: a process that was just started.
    :param path: path that answers with status 200 once it serves.
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
                    raise RuntimeError(f"{process.name} ended with {process.process.returncode}")
                await trio.sleep(0.05)
