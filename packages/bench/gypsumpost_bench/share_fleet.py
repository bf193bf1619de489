"""Daemons that share allowances, in one process on a simulated clock."""

import random
from collections.abc import Callable

import trio

from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_core.lists.allowance import Allowance
from gypsumpost_core.lists.lists import Lists
from gypsumpost_core.lists.workspace_plan import WorkspacePlan
from gypsumpost_daemon.limits.share_task import ShareTask

SERVICE = "gate"
MODEL = "summary"
TOKENS_PER_GENERATION = 20
TOKEN_GAP_SECONDS = 0.02


class ShareFleet:
    """Share tasks with open-loop demand; each admission is recorded with its time.

    :param daemons: number of daemons.
    :param workspaces: number of workspaces, each with the same allowance.
    :param requests: allowed requests per second of each workspace.
    :param tokens: allowed tokens per second of each workspace.
    :param mode: name of an entry of the registry ``share-mode``.
    :param seed: seed of the arrivals.
    """

    def __init__(
        self, *, daemons: int, workspaces: int, requests: float, tokens: float, mode: str, seed: int
    ) -> None:
        names = [f"w{number}" for number in range(workspaces)]
        allowance = Allowance(
            name="plan",
            models=(MODEL,),
            services=(SERVICE,),
            requests_per_second=requests,
            tokens_per_second=tokens,
            concurrent_generations=100_000,
            deadline_seconds=60,
        )
        lists = Lists(
            revision=1,
            plans={name: WorkspacePlan(name=name, plan="plan") for name in names},
            allowances={"plan": allowance},
        )
        self.workspaces = names
        self.network = SimulatedNetwork(seed=seed, delay=0.001)
        self.hosts = create_hosts(daemons)
        self.tasks = [
            ShareTask(
                directory=create_directory(host, self.hosts),
                peers=SimulatedPort(network=self.network, host_id=host.host_id),
                get_lists=lambda: lists,
                mode=mode,
            )
            for host in self.hosts
        ]
        self.offered: list[float] = []
        self.admitted: list[float] = []
        self.tokens: list[float] = []
        self._rng = random.Random(seed)

    async def offer(
        self, index: int, workspace: str, resource: str, get_rate: Callable[[float], float]
    ) -> None:
        """Send Poisson arrivals to one daemon until cancelled.

        :param index: position of the daemon.
        :param workspace: the requesting workspace.
        :param resource: the service or model.
        :param get_rate: returns the requests per second at a simulated time.
        """
        admission = self.tasks[index].admission
        async with trio.open_nursery() as nursery:
            while True:
                rate = get_rate(trio.current_time())
                # Without demand the rate is read again ten times a second.
                wait = self._rng.expovariate(rate) if rate > 0 else 0.1
                await trio.sleep(min(wait, 0.1))
                if wait > 0.1 or rate <= 0:
                    continue  # Poisson arrivals are memoryless, so the draw can be repeated.
                now = trio.current_time()
                self.offered.append(now)
                if admission.check(workspace, resource, now).is_ok():
                    self.admitted.append(now)
                    if resource == MODEL:
                        nursery.start_soon(self._generate, index, workspace)

    async def _generate(self, index: int, workspace: str) -> None:
        admission = self.tasks[index].admission
        admission.start_generation(workspace, trio.current_time())
        for _ in range(TOKENS_PER_GENERATION):
            await trio.sleep(TOKEN_GAP_SECONDS)
            self.tokens.append(trio.current_time())
            admission.charge_tokens(workspace, 1, trio.current_time())
        admission.finish_generation(workspace, TOKENS_PER_GENERATION, trio.current_time())
