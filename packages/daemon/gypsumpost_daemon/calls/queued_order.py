"""A queued claim order."""

import attrs
import trio

from gypsumpost_daemon.calls.claim_messages import OrderOutcome
from gypsumpost_daemon.calls.claim_order import ClaimOrder


@attrs.define(kw_only=True, eq=False)
class QueuedOrder:
    """An order in the queue, whose submitter waits for the outcome.

    :param order: the order.
    :param done: set when the outcome is available.
    :param outcome: the outcome, ``None`` until then.
    """

    order: ClaimOrder
    done: trio.Event = attrs.field(factory=trio.Event)
    outcome: OrderOutcome | None = None

    def finish(self, outcome: OrderOutcome) -> None:
        """Set the outcome and wake up the submitter.

        :param outcome: the outcome.
        """
        self.outcome = outcome
        self.done.set()
