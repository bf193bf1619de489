"""A client of a plain service whose calls must be executed at most once."""

import uuid

import attrs
import httpcore
import orjson

from gypsumpost_cli.entry_pool import EntryPool

MAX_TRIES = 5
"""Connections for one call, including the first; its idempotency key makes retries safe."""

CALL_TIMEOUT_SECONDS = 20.0


@attrs.define(kw_only=True)
class GateClient:
    """Sends charges to the entry hosts in round-robin order.

    :param entries: connections to the entry hosts.
    :param key: bearer key of the workspace.
    :param service: name of the service.
    """

    entries: EntryPool
    key: str
    service: str

    async def charge(self, number: int) -> str:
        """Send one charge; retry it with the same idempotency key if the connection is lost.

        :param number: number of the charge, sent in the body.
        :returns: code and run state of the failure, empty for a success.
        """
        idempotency_key = uuid.uuid4().hex
        for attempt in range(1, MAX_TRIES + 1):
            try:
                response = await self._send(number, idempotency_key, attempt)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                continue
            return "" if response.status < 400 else _describe_failure(response)
        return "connection_lost (unknown)"

    async def _send(self, number: int, idempotency_key: str, attempt: int) -> httpcore.Response:
        headers = [
            ("Host", "gypsumpost"),
            ("Authorization", f"Bearer {self.key}"),
            ("Idempotency-Key", idempotency_key),
            ("X-Call-Id", idempotency_key),
            # Attempt 1 states that the key is new, which allows a refusal to report not_run.
            ("X-Call-Attempt", str(attempt)),
            ("Content-Type", "application/json"),
        ]
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_SECONDS)
        return await self.entries.connections.request(
            "POST",
            self.entries.create_url(f"/v1/services/{self.service}/charges"),
            headers=headers,
            content=orjson.dumps({"charge": number}),
            extensions={"timeout": timeouts},
        )


def _describe_failure(response: httpcore.Response) -> str:
    try:
        error = orjson.loads(response.content)["error"]
        return f"{error['code']} ({error['run_state']})"
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return f"status {response.status}"
