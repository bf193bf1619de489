"""A claim order whose submitter waits."""

import attrs
import trio

from gypsumpost_daemon.calls.claim_messages import OrderOutcome
from gypsumpost_daemon.calls.claim_order import ClaimOrder


@attrs.define(kw_only=True, eq=False)
class QueuedOrder:
    """An order whose submitter waits.

    :param order: the order.
    :param done: set with the outcome.
    :param outcome: the outcome, once there is one.
    """

    order: ClaimOrder
    done: trio.Event = attrs.field(factory=trio.Event)
    outcome: OrderOutcome | None = None

    def finish(self, outcome: OrderOutcome) -> None:
        """Hand the outcome to the submitter.

        :param outcome: the outcome.
        """
        self.outcome = outcome
        self.done.set()
