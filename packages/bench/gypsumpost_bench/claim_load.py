"""A constant rate of claims on the store, without services."""

import attrs
import trio
from result import Ok

from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.calls.claim_mode import ClaimMode
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind

CLAIM_SECONDS = 5.0
CLAIM_VALUE = b"c" * 200
OUTCOME_VALUE = RunState.RUN.value.encode() + b"o" * 400
"""``CLAIM_VALUE`` has the size of a claim, ``OUTCOME_VALUE`` that of a short outcome."""


@attrs.define(kw_only=True)
class ClaimLoad:
    """Writes claims and their outcomes at a fixed rate, spread over the daemons.

    :param modes: the claim mode of each daemon.
    :param calls_per_second: rate of calls; each writes one claim and one outcome.
    :param answered: calls whose claim and outcome were both written.
    """

    modes: list[ClaimMode]
    calls_per_second: float
    answered: int = 0

    async def run(self, calls: int) -> None:
        """Make calls and wait for all of them.

        :param calls: number of calls.
        """
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(calls):
                await trio.sleep_until(started + number / self.calls_per_second)
                nursery.start_soon(self._call, number)

    async def _call(self, number: int) -> None:
        mode = self.modes[number % len(self.modes)]
        key = b"/gypsumpost/calls/%d" % number
        create = ClaimOrder(kind=ClaimOrderKind.CREATE, key=key, value=CLAIM_VALUE)
        finish = ClaimOrder(
            kind=ClaimOrderKind.REPLACE, key=key, expected=CLAIM_VALUE, value=OUTCOME_VALUE
        )
        for order in (create, finish):
            outcome = await mode.submit(order, trio.current_time() + CLAIM_SECONDS)
            if not (isinstance(outcome, Ok) and outcome.ok_value.applied):
                return
        self.answered += 1
