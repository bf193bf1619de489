"""Runs a soak plan against a deployment and records its events."""

import random
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from gypsumpost_bench.deployment import Deployment
from gypsumpost_bench.fault_injector import FaultInjector
from gypsumpost_bench.history import History
from gypsumpost_bench.soak_callers import SoakCallers
from gypsumpost_bench.soak_charges import SoakCharges
from gypsumpost_bench.soak_operators import SoakOperators
from gypsumpost_bench.soak_plan import SoakPlan
from gypsumpost_bench.soak_verdicts import check_history

DRAIN_SECONDS = 60.0
"""Time limit for the callers to finish after the load ends."""


@attrs.define(kw_only=True)
class SoakRun:
    """One soak run.

    :param plan: the deployment, load and faults.
    """

    plan: SoakPlan
    history: History = attrs.field(factory=History, init=False)
    verdicts: dict[str, list[str]] = attrs.field(factory=dict, init=False)

    async def run(self, output: Path) -> bool:
        """Run the plan and check its history.

        :param output: directory for the history and logs of a failed run.
        :returns: true if all checks passed.
        """
        self.history.engines = len(self.plan.deployment.token_gaps)
        async with Deployment(plan=self.plan.deployment) as deployment:
            await self._run_load(deployment)
            for name in deployment.services:
                path = deployment.directory / f"{name}.executions"
                self.history.executions += path.read_text().split() if path.exists() else []
            addresses = {name: each.address for name, each in deployment.daemons.items()}
            self.verdicts = check_history(self.history, addresses)
            if any(self.verdicts.values()):
                shutil.copytree(deployment.directory, output, dirs_exist_ok=True)
                self.history.write(output / "history.json")
        return not any(self.verdicts.values())

    async def _run_load(self, deployment: Deployment) -> None:
        rng = random.Random(self.plan.seed + 1)
        addresses = deployment.list_addresses()
        callers = SoakCallers(
            rng=rng, addresses=addresses, history=self.history, max_tokens=self.plan.max_tokens
        )
        charges = SoakCharges(rng=rng, addresses=addresses, history=self.history)
        operators = SoakOperators(
            rng=rng,
            addresses=dict(zip(deployment.daemons, deployment.admin_addresses, strict=True)),
            daemons=deployment.daemons,
            history=self.history,
        )
        injector = FaultInjector(deployment=deployment, history=self.history, callers=callers)
        async with trio.open_nursery() as background:
            background.start_soon(injector.watch_processes)
            for name in deployment.daemons:
                background.start_soon(operators.record_revisions, name)
            with trio.move_on_after(self.plan.seconds + DRAIN_SECONDS):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(injector.run, self.plan.faults, trio.current_time())
                    start_repeatedly = self._start_repeatedly
                    nursery.start_soon(
                        start_repeatedly, callers.send_request, self.plan.request_interval
                    )
                    nursery.start_soon(start_repeatedly, charges.charge, self.plan.charge_interval)
                    nursery.start_soon(
                        start_repeatedly, operators.race_edits, self.plan.edit_interval
                    )
            await injector.stop_daemons()
            background.cancel_scope.cancel()

    async def _start_repeatedly(
        self, action: Callable[[], Awaitable[None]], interval: float
    ) -> None:
        rng = random.Random(f"{self.plan.seed} {interval}")
        end = trio.current_time() + self.plan.seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(action)
                await trio.sleep(rng.expovariate(1 / interval))
