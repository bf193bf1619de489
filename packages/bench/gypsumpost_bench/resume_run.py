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

LIMIT = 60.0
"""Longest run of a scenario in seconds."""

ENGINES = 6
TOKEN_GAP = 0.042
START_PERIOD = 0.01
"""Seconds between two requests, so that the streams are not in step."""

SILENCE_LIMIT = 1.0
"""Seconds of silence after which a caller reconnects; only a paused daemon makes it wait so."""

SETTLE_SECONDS = 1.0
"""Time after the last answer or the wake-up in which cancelled streams end."""

WORKSPACE = "laurentides"


@attrs.define(kw_only=True)
class ResumeRun:
    """One scenario.

    :param scenario: what to do.
    """

    scenario: ResumeScenario
    _answers: list[Answer] = attrs.field(factory=list, init=False)

    async def measure(self) -> ResumeFigures:
        """Run the scenario and return its figures."""
        plan = DeploymentPlan(
            platform=False,
            services=0,
            token_gaps=(TOKEN_GAP,) * ENGINES,
            daemon_flags=self.scenario.flags,
        )
        with trio.fail_after(LIMIT):
            async with Deployment(plan=plan) as deployment:
                await self._send_requests(deployment)
                await trio.sleep(SETTLE_SECONDS)
                return self._create_figures(deployment)

    async def _send_requests(self, deployment: Deployment) -> None:
        # A caller that gives up on a paused engine early moves its generation to another daemon,
        # which then waits for the same engine.
        paused = self.scenario.fault is ResumeFault.PAUSE_DAEMON
        client = AnswerClient(
            addresses=deployment.list_addresses(),
            key=KEYS[WORKSPACE],
            read_timeout=SILENCE_LIMIT if paused else None,
        )
        turns = itertools.cycle(deployment.list_addresses())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cause_fault, self._find_victim(deployment))
            for number in range(self.scenario.answers):
                nursery.start_soon(self._request, client, next(turns), number)
                await trio.sleep(START_PERIOD)
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

    def _find_victim(self, deployment: Deployment) -> RunningProcess:
        hits_engine = self.scenario.fault.hits_engine
        return deployment.engines["engine-1"] if hits_engine else deployment.daemons["d2-host1"]

    async def _cause_fault(self, victim: RunningProcess) -> None:
        await trio.sleep(self.scenario.fault_after)
        if not self.scenario.fault.pauses:
            victim.kill()
            return
        victim.pause()
        await trio.sleep(self.scenario.pause)
        victim.resume()

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
        """Return the request ids whose engine or daemon failed; all began before the fault."""
        victim = self._find_victim(deployment).name
        found = set()
        for name in deployment.daemons:
            for line in (deployment.directory / f"{name}.log").read_text().splitlines():
                event = json.loads(line)
                first = event.get("attempt") == 1 and "attempt started" in event.get("message", "")
                if first and victim in (event["endpoint"], event["host_id"]):
                    found.add(event["request_id"])
        return found
