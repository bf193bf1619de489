"""Runs the attempts of a generation one after another."""

import random
from collections.abc import Callable

import attrs
import trio
from result import Err

from gypsumpost_core.attempt_outcome import AttemptOutcome
from gypsumpost_core.failure import Failure
from gypsumpost_core.resumption_policy import ResumptionAction
from gypsumpost_daemon.attempt_reader import AttemptReader
from gypsumpost_daemon.attempt_route import AttemptRoute
from gypsumpost_daemon.attempt_runner import AttemptRunner
from gypsumpost_daemon.generation_context import GenerationContext
from gypsumpost_daemon.generation_status import GenerationStatus

NO_ENGINE_WAIT = 0.05
"""Seconds before the next try when no engine can take a continuation."""

MAX_FRUITLESS_ATTEMPTS = 8
"""Attempts in a row without a token, after which the generation fails."""

FRUITLESS_WAIT = 0.05
MAX_FRUITLESS_WAIT = 1.0
"""Seconds before the attempt that follows one without a token; they double each time."""


@attrs.define(kw_only=True)
class AttemptSequence:
    """Decides when the next attempt starts and when the generation has failed.

    :param status: the generation.
    :param routes: describes attempts for routing.
    :param reader: reads the attempts' streams.
    :param context: the parts of the daemon that it talks to.
    :param handle_restart: called when the output so far was discarded.
    """

    status: GenerationStatus
    routes: AttemptRoute
    reader: AttemptReader
    context: GenerationContext
    handle_restart: Callable[[], None]
    _runner: AttemptRunner = attrs.field(init=False)
    _fruitless: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._runner = AttemptRunner(
            status=self.status, routes=self.routes, reader=self.reader, context=self.context
        )

    async def run(self) -> None:
        """Run attempts until the answer has ended or failed."""
        status = self.status
        if status.record.attempt and not status.generation.finished:
            await self._runner.resume()
        while not status.generation.finished and status.failure is None:
            if status.is_late():
                status.fail("deadline_exceeded", 504, "The request's deadline has passed.")
            elif status.required_length > status.record.length:
                message = "The answer cannot be continued without a gap."
                status.fail("state_lost", 409, message)
            elif self._fruitless >= MAX_FRUITLESS_ATTEMPTS:
                status.fail("engines_failed", 502, "No engine could go on with the answer.")
            else:
                await self._run_attempt()

    def _restart_unseen(self) -> None:
        restart = self.reader.action is ResumptionAction.RESTART
        self.reader.action = ResumptionAction.CONTINUE
        if restart and not self.status.generation.shown:
            self.status.generation = self.status.generation.restart()
            self.routes.record = self.status.record
            self.handle_restart()

    async def _run_attempt(self) -> None:
        self._restart_unseen()
        route = self.routes.describe()
        chosen = self.context.router.choose(route, trio.current_time())
        if isinstance(chosen, Err):
            await self._handle_no_engine(chosen.err_value)
            return
        self.reader.produced = False
        outcome = await self._runner.run(chosen.ok_value, route)
        if self.reader.produced:
            self._fruitless = 0
        if outcome is not AttemptOutcome.FINISHED:
            await self._back_off()

    async def _back_off(self) -> None:
        # The first attempt after a loss starts at once, since the caller is waiting.
        self._fruitless += 1
        if self._fruitless > 1:
            wait = min(FRUITLESS_WAIT * 2**self._fruitless, MAX_FRUITLESS_WAIT)
            await trio.sleep(wait * random.uniform(0.5, 1.0))

    async def _handle_no_engine(self, failure: Failure) -> None:
        if self.routes.excluded:
            # Engines that failed may have come back while all others were tried.
            self.routes.excluded.clear()
        elif self.status.record.attempt == 0:
            self.status.failure = failure
            return
        await trio.sleep(NO_ENGINE_WAIT)
