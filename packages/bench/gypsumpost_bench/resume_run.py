"""Runs one scenario of the experiment ``resume`` with real processes."""

import itertools
import json

import attrs
import trio

from gypsumpost_bench.deployment import KEYS, Deployment, DeploymentPlan
from gypsumpost_bench.resume_figures import ResumeFigures
from gypsumpost_bench.resume_scenario import ResumeFault, ResumeScenario
from gypsumpost_bench.running_process import RunningProcess
from gypsumpost_bench.token_counter import read_count
from gypsumpost_bench.whole_answer import request_whole_answer
from gypsumpost_cli.answer import Answer
from gypsumpost_cli.answer_check import find_answer_error
from gypsumpost_cli.answer_client import AnswerClient

SCENARIO_TIMEOUT_SECONDS = 60.0

ENGINES = 6
TOKEN_GAP_SECONDS = 0.042
REQUEST_INTERVAL_SECONDS = 0.01
"""Seconds between two requests, so that the streams are not synchronous."""

READ_TIMEOUT_SECONDS = 1.0
"""Seconds without data after which a caller reconnects; used only with a paused daemon."""

SETTLE_SECONDS = 1.0
"""Time after the last answer or SIGCONT for cancelled streams to end."""

WORKSPACE = "laurentides"


@attrs.define(kw_only=True)
class ResumeRun:
    """One run of a scenario.

    :param scenario: load, fault and daemon flags.
    """

    scenario: ResumeScenario
    _answers: list[Answer] = attrs.field(factory=list, init=False)

    async def measure(self) -> ResumeFigures:
        """Run the scenario and return its figures."""
        plan = DeploymentPlan(
            platform=False,
            services=0,
            token_gaps=(TOKEN_GAP_SECONDS,) * ENGINES,
            daemon_flags=self.scenario.flags,
        )
        with trio.fail_after(SCENARIO_TIMEOUT_SECONDS):
            async with Deployment(plan=plan) as deployment:
                await self._send_requests(deployment)
                await trio.sleep(SETTLE_SECONDS)
                return self._create_figures(deployment)

    async def _send_requests(self, deployment: Deployment) -> None:
        # No read timeout with a paused engine: a caller that reconnects early moves its generation
        # to another daemon, which then waits for the same engine.
        paused = self.scenario.fault is ResumeFault.PAUSE_DAEMON
        client = AnswerClient(
            addresses=deployment.list_addresses(),
            key=KEYS[WORKSPACE],
            read_timeout=READ_TIMEOUT_SECONDS if paused else None,
        )
        addresses = itertools.cycle(deployment.list_addresses())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cause_fault, self._get_failing_process(deployment))
            for number in range(self.scenario.answers):
                nursery.start_soon(self._request, client, next(addresses), number)
                await trio.sleep(REQUEST_INTERVAL_SECONDS)
        await client.aclose()

    async def _request(self, client: AnswerClient, address: str, number: int) -> None:
        body = {
            "model": "summary",
            "prompt": f"Summarise incident {number}.",
            "max_tokens": self.scenario.tokens,
            "ignore_eos": True,
        }
        if self.scenario.streaming:
            self._answers.append(await client.generate(body))
        else:
            self._answers.append(await request_whole_answer(address, client.key, body))

    def _get_failing_process(self, deployment: Deployment) -> RunningProcess:
        affects_engine = self.scenario.fault.affects_engine
        return deployment.engines["engine-1"] if affects_engine else deployment.daemons["d2-host1"]

    async def _cause_fault(self, process: RunningProcess) -> None:
        await trio.sleep(self.scenario.fault_after)
        if not self.scenario.fault.pauses:
            process.kill()
            return
        process.pause()
        await trio.sleep(self.scenario.pause)
        process.resume()

    def _create_figures(self, deployment: Deployment) -> ResumeFigures:
        affected = self._find_affected(deployment)
        errors = [find_answer_error(answer, self.scenario.tokens) for answer in self._answers]
        counts = [deployment.directory / f"{name}.count" for name in deployment.engines]
        return ResumeFigures(
            stalls=tuple(a.longest_gap for a in self._answers if a.request_id in affected),
            answers=len(self._answers),
            errors=tuple(error for error in errors if error is not None),
            produced=sum(map(read_count, counts)),
            delivered=sum(len(answer.token_ids) for answer in self._answers),
            tokens=self.scenario.tokens,
        )

    def _find_affected(self, deployment: Deployment) -> set[str]:
        """Return the ids of the requests whose first engine or daemon is the one that failed.

        All requests start before the fault.
        """
        failing = self._get_failing_process(deployment).name
        request_ids = set()
        for name in deployment.daemons:
            for line in (deployment.directory / f"{name}.log").read_text().splitlines():
                event = json.loads(line)
                first = event.get("attempt") == 1 and "attempt started" in event.get("message", "")
                if first and failing in (event["endpoint"], event["host_id"]):
                    request_ids.add(event["request_id"])
        return request_ids
