"""A client of the gate service that retries a call, up to a limit, until the service has run it."""

import uuid

import attrs
import httpcore
import orjson
import trio

MAX_ATTEMPTS = 20
RETRY_SECONDS = 0.2


@attrs.define(kw_only=True)
class ChargeClient:
    """Makes non-idempotent calls, each with its own idempotency key.

    :param addresses: ``ip:port`` of the entry hosts.
    :param key: bearer key of the workspace.
    """

    addresses: list[str]
    key: str
    outcomes: dict[str, str] = attrs.field(factory=dict, init=False)

    async def charge(self, number: int) -> None:
        """Make one call, in up to ``MAX_ATTEMPTS`` attempts, and record the last outcome.

        The outcome is ``run``, ``not_run`` or ``unknown``.

        :param number: selects the entry host of the first attempt.
        """
        call_id = uuid.uuid4().hex
        outcome = "unknown"
        async with httpcore.AsyncConnectionPool() as pool:
            for attempt in range(MAX_ATTEMPTS):
                address = self.addresses[(number + attempt) % len(self.addresses)]
                outcome = await self._call(pool, address, call_id)
                if outcome == "run":
                    break
                await trio.sleep(RETRY_SECONDS)
        self.outcomes[call_id] = outcome

    async def _call(self, pool: httpcore.AsyncConnectionPool, address: str, call_id: str) -> str:
        headers = [
            ("Host", "gypsumpost"),
            ("Authorization", f"Bearer {self.key}"),
            ("Idempotency-Key", call_id),
            ("X-Call-Id", call_id),
        ]
        url = f"http://{address}/v1/services/gate/charges"
        try:
            with trio.fail_after(5):
                response = await pool.request("POST", url, headers=headers, content=b"{}")
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return "unknown"
        if response.status < 300:
            return "run"
        return str(orjson.loads(response.content)["error"]["run_state"])


async def count_executions(addresses: list[str]) -> dict[str, int]:
    """Return the number of executions that the services counted for each call.

    :param addresses: ``ip:port`` of the services.
    """
    counts: dict[str, int] = {}
    async with httpcore.AsyncConnectionPool() as pool:
        for address in addresses:
            response = await pool.request("GET", f"http://{address}/executions")
            for call_id, count in orjson.loads(response.content)["executions"].items():
                counts[call_id] = counts.get(call_id, 0) + count
    return counts
