"""Sends a load and measures what its callers receive."""

import sys

import attrs
import trio

from gypsumpost_cli.answer_client import AnswerClient
from gypsumpost_cli.entry_pool import EntryPool
from gypsumpost_cli.gate_client import GateClient
from gypsumpost_cli.load_arrival import LoadArrival
from gypsumpost_cli.load_plan import LoadPlan
from gypsumpost_cli.load_report import describe_progress
from gypsumpost_cli.load_results import LoadResults
from gypsumpost_cli.load_schedule import schedule_load

PROGRESS_INTERVAL_SECONDS = 1.0


@attrs.define(kw_only=True)
class LoadRunner:
    """Runs one load.

    :param plan: the load.
    :param addresses: ``ip:port`` of the entry hosts.
    :param grace: seconds after the last arrival until open requests are cancelled.
    """

    plan: LoadPlan
    addresses: list[str]
    grace: float
    results: LoadResults = attrs.field(factory=LoadResults, init=False)
    seconds: float = attrs.field(default=0.0, init=False)
    _answer_clients: list[AnswerClient] = attrs.field(init=False)
    _gate_clients: list[GateClient] = attrs.field(init=False)

    async def run(self) -> None:
        """Send all requests and wait until they have ended or the grace period is over."""
        plan = self.plan
        self._answer_clients = [
            AnswerClient(addresses=self.addresses, key=w.key, retries_refusals=False)
            for w in plan.workspaces
        ]
        entries = EntryPool(addresses=self.addresses)
        self._gate_clients = [
            GateClient(entries=entries, key=w.key, service=plan.service) for w in plan.workspaces
        ]
        start = trio.current_time()
        with trio.move_on_at(start + plan.seconds + self.grace):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._show_progress, start)
                await self._send_all(start)
                nursery.cancel_scope.cancel()
        self.seconds = trio.current_time() - start
        print(describe_progress(self.results, self.seconds), file=sys.stderr)
        with trio.move_on_after(1.0):
            for client in self._answer_clients:
                await client.aclose()
            await entries.aclose()

    async def _send_all(self, start: float) -> None:
        async with trio.open_nursery() as nursery:
            for arrival in schedule_load(self.plan):
                await trio.sleep_until(start + arrival.at)
                if arrival.is_gate_call:
                    nursery.start_soon(self._call_gate, arrival)
                else:
                    nursery.start_soon(self._generate, arrival)

    async def _generate(self, arrival: LoadArrival) -> None:
        name = self.plan.workspaces[arrival.workspace].name
        self.results.sent += 1
        self.results.sent_by_workspace[name] += 1
        body: dict[str, object] = {
            "model": self.plan.model,
            "max_tokens": arrival.max_tokens,
            "ignore_eos": True,
        }
        if arrival.chat:
            body["messages"] = [{"role": "user", "content": arrival.prompt}]
        else:
            body["prompt"] = arrival.prompt
        answer = await self._answer_clients[arrival.workspace].generate(body, chat=arrival.chat)
        self.results.record_answer(name, answer, arrival.max_tokens, trio.current_time())

    async def _call_gate(self, arrival: LoadArrival) -> None:
        self.results.gate_sent += 1
        sent_at = trio.current_time()
        failure = await self._gate_clients[arrival.workspace].charge(arrival.number)
        self.results.record_gate_call(failure, trio.current_time() - sent_at)

    async def _show_progress(self, start: float) -> None:
        end = "\r" if sys.stderr.isatty() else "\n"
        while True:
            await trio.sleep(PROGRESS_INTERVAL_SECONDS)
            line = describe_progress(self.results, trio.current_time() - start)
            print(line, end=end, file=sys.stderr, flush=True)
