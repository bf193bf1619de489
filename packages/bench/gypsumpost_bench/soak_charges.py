"""Callers of the gate service in a soak run."""

import random
import uuid

import attrs
import httpcore
import orjson
import trio

from gypsumpost_bench.charge_event import ChargeEvent, ChargeReply
from gypsumpost_bench.deployment_lists import KEYS
from gypsumpost_bench.history import History

MAX_ATTEMPTS = 8
RETRY_SECONDS = 0.4
REPLY_SECONDS = 4.0


@attrs.define(kw_only=True)
class SoakCharges:
    """Makes charges with chosen and issued keys, retries them and sends some concurrently.

    :param rng: random number generator.
    :param addresses: caller addresses of all daemons.
    :param history: records the charges.
    """

    rng: random.Random
    addresses: list[str]
    history: History

    async def charge(self) -> None:
        """Make one charge; half of the charges are made by two callers at once.

        Each caller sends the charge until it has run, ``MAX_ATTEMPTS`` times at most.
        """
        async with httpcore.AsyncConnectionPool() as pool:
            issued = await self._fetch_key(pool) if self.rng.random() < 0.4 else ""
            event = ChargeEvent(call_id=uuid.uuid4().hex, issued=bool(issued))
            key = issued or event.call_id
            self.history.charges.append(event)
            async with trio.open_nursery() as nursery:
                for _ in range(2 if self.rng.random() < 0.5 else 1):
                    nursery.start_soon(self._retry, pool, event, key)

    async def _retry(
        self, pool: httpcore.AsyncConnectionPool, event: ChargeEvent, key: str
    ) -> None:
        for _ in range(MAX_ATTEMPTS):
            reply = await self._send(pool, event.call_id, key)
            event.replies.append(reply)
            # One in four successful calls is repeated, as if the caller had lost the answer.
            if reply.run_state == "run" and self.rng.random() < 0.75:
                return
            await trio.sleep(RETRY_SECONDS)

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, call_id: str, key: str
    ) -> ChargeReply:
        started_at, state, code = trio.current_time(), "lost", ""
        headers = {"Idempotency-Key": key, "X-Call-Id": call_id}
        response = await self._post(pool, "/v1/services/gate/charges", headers)
        if response is not None and response.status < 300:
            state = "run"
        elif response is not None:
            error = orjson.loads(response.content)["error"]
            state, code = error["run_state"], error["code"]
        return ChargeReply(
            started_at=started_at, ended_at=trio.current_time(), run_state=state, code=code
        )

    async def _fetch_key(self, pool: httpcore.AsyncConnectionPool) -> str:
        response = await self._post(pool, "/v1/services/gate/keys", {})
        if response is None or response.status != 200:
            return ""
        return str(orjson.loads(response.content)["key"])

    async def _post(
        self, pool: httpcore.AsyncConnectionPool, path: str, headers: dict[str, str]
    ) -> httpcore.Response | None:
        common_headers = {"Host": "gypsumpost", "Authorization": f"Bearer {KEYS['laurentides']}"}
        url = f"http://{self.rng.choice(self.addresses)}{path}"
        try:
            with trio.fail_after(REPLY_SECONDS):
                return await pool.request(
                    "POST", url, headers=[*common_headers.items(), *headers.items()], content=b"{}"
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return None
