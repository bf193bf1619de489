"""Concurrent list edits in a soak run, and reports of the applied revisions."""

import random

import attrs
import orjson
import trio
from result import Err

from gypsumpost_bench.deployment_lists import ADMIN_KEY, ALLOWANCES
from gypsumpost_bench.edit_event import EditEvent
from gypsumpost_bench.history import History
from gypsumpost_bench.revision_event import RevisionEvent
from gypsumpost_bench.running_process import RunningProcess
from gypsumpost_cli.admin_client import AdminClient

FIRST_VALUE = 5000
REPORT_SECONDS = 0.25


@attrs.define(kw_only=True)
class SoakOperators:
    """Edits the allowances through the administration interface.

    :param rng: random number generator.
    :param addresses: address of the administration interface of each daemon by name.
    :param daemons: the daemons by name.
    :param history: records edits and revisions.
    """

    rng: random.Random
    addresses: dict[str, str]
    daemons: dict[str, RunningProcess]
    history: History
    _value: int = attrs.field(default=FIRST_VALUE, init=False)

    async def race_edits(self) -> None:
        """Edit the allowances at one to three daemons concurrently."""
        names = self.rng.sample(list(self.addresses), self.rng.randint(1, 3))
        async with trio.open_nursery() as nursery:
            for name in names:
                self._value += 1
                nursery.start_soon(self._edit, self.addresses[name], self._value)

    async def _edit(self, address: str, value: int) -> None:
        client = AdminClient(address=address, key=ADMIN_KEY)
        current = await trio.to_thread.run_sync(lambda: client.call("GET", "allowances"))
        if isinstance(current, Err) or current.ok_value.status != 200:
            return
        base = current.ok_value.headers["etag"]
        text = ALLOWANCES.replace(
            f"concurrent_generations = {FIRST_VALUE}", f"concurrent_generations = {value}"
        )
        reply = await trio.to_thread.run_sync(
            lambda: client.call("PUT", "allowances", text.encode(), if_match=base)
        )
        outcome, revision = "lost", 0
        if not isinstance(reply, Err):
            content = orjson.loads(reply.ok_value.body)
            outcome = content.get("outcome", f"status {reply.ok_value.status}")
            revision = content["detail"]["revision"] if outcome == "accepted" else 0
        self.history.edits.append(
            EditEvent(base=int(base), value=value, outcome=outcome, revision=revision)
        )

    async def record_revisions(self, name: str) -> None:
        """Record the revisions that one daemon reports until cancelled.

        :param name: the daemon.
        """
        client = AdminClient(address=self.addresses[name], key=ADMIN_KEY)
        while True:
            incarnation = self.daemons[name].incarnation
            reply = await trio.to_thread.run_sync(
                lambda: client.call("GET", "revisions"), abandon_on_cancel=True
            )
            if not isinstance(reply, Err) and reply.ok_value.status == 200:
                revision = orjson.loads(reply.ok_value.body)["revisions"][name]
                if self.daemons[name].incarnation == incarnation:
                    self.history.revisions.append(
                        RevisionEvent(host_id=name, incarnation=incarnation, revision=revision)
                    )
            await trio.sleep(REPORT_SECONDS)
