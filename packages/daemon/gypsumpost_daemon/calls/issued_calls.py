"""Non-idempotent calls under issued keys, which do not need the store."""

from collections.abc import Callable

import orjson
import trio
from result import Err

from gypsumpost_core.calls.issued_call_step import IssuedCallStep
from gypsumpost_core.calls.issued_call_table import IssuedCallTable
from gypsumpost_core.calls.issued_key import IssuedKey
from gypsumpost_core.calls.issued_key_signer import IssuedKeySigner
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.callers.error_body import encode_not_run
from gypsumpost_daemon.calls.call_answers import (
    answer_lost_call,
    answer_unsent_call,
    create_failure_response,
    make_lost_outcome,
    make_outcome,
    refuse_mismatch,
    replay_outcome,
)
from gypsumpost_daemon.calls.issued_call_messages import decode_response, encode_request
from gypsumpost_daemon.calls.service_request import ServiceRequest
from gypsumpost_daemon.calls.service_sender import ServiceSender
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork

KEY_SECONDS = 600
"""Lifetime of an issued key."""

MAX_KEYS = 1000
"""Maximum number of keys in one response."""

WAIT_SECONDS = 0.05
"""Interval of polls for the outcome of a call that runs on this daemon."""


class IssuedCalls:
    """Issues keys and runs calls under them.

    :param table: issues this daemon's keys and tracks the used ones.
    :param signer: signs and verifies keys.
    :param own_host: host id of this daemon.
    :param network: connections to other daemons.
    :param sender: sends requests to the services.
    :param read_unix_time: returns the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        table: IssuedCallTable,
        signer: IssuedKeySigner,
        own_host: str,
        network: PeerNetwork,
        sender: ServiceSender,
        read_unix_time: Callable[[], float],
    ) -> None:
        self._table = table
        self._signer = signer
        self._own_host = own_host
        self._network = network
        self._sender = sender
        self._read_unix_time = read_unix_time

    def issue_keys(self, request: ServiceRequest) -> CallerResponse:
        """Handle ``POST /v1/services/{service}/keys``.

        :param request: the request; its body may contain ``{"count": n}``.
        """
        count = _read_count(request.caller.body)
        if count is None:
            message = f"The body must be empty or give a count from 1 to {MAX_KEYS}."
            return encode_not_run(400, "invalid_count", message)
        deadline = int(self._read_unix_time()) + KEY_SECONDS
        workspace, service = request.caller.workspace, request.service
        keys = [
            self._signer.format_key(key, workspace, service)
            for key in self._table.issue_keys(count, deadline)
        ]
        body = orjson.dumps({"key": keys[0], "keys": keys, "deadline": deadline})
        return CallerResponse(status=200, headers={"content-type": "application/json"}, body=body)

    async def run_call(self, request: ServiceRequest) -> CallerResponse:
        """Run a call if this daemon issued its key, else forward it to the issuer.

        :param request: the request with an issued key.
        """
        key = self._signer.read_key(request.key, request.caller.workspace, request.service)
        if key is None:
            message = "This key was not issued for this workspace and service."
            return encode_not_run(403, "invalid_issued_key", message)
        if key.issuer != self._own_host:
            return await self._forward(key, request)
        return await self._run_own(key, request)

    async def _forward(self, key: IssuedKey, request: ServiceRequest) -> CallerResponse:
        offset = self._read_unix_time() - trio.current_time()
        payload = encode_request(request.caller, offset)
        reply = await self._network.request(
            key.issuer, MessageKind.RUN_ISSUED_CALL, payload, request.caller.deadline
        )
        if not isinstance(reply, Err):
            return decode_response(reply.ok_value)
        return _answer_without_issuer()

    async def _run_own(self, key: IssuedKey, request: ServiceRequest) -> CallerResponse:
        while True:
            step = self._table.begin(key, request.request_digest, self._read_unix_time())
            if step is not IssuedCallStep.WAIT:
                break
            if trio.current_time() + WAIT_SECONDS >= request.caller.deadline:
                return _answer_running()
            await trio.sleep(WAIT_SECONDS)
        if step is IssuedCallStep.RUN:
            return await self._send(key, request)
        return self._answer_unsent(step, key)

    def _answer_unsent(self, step: IssuedCallStep, key: IssuedKey) -> CallerResponse:
        outcome = self._table.find_outcome(key)
        if step is IssuedCallStep.RETURN_OUTCOME and outcome is not None:
            return replay_outcome(outcome)
        if step is IssuedCallStep.REFUSE_MISMATCH:
            return refuse_mismatch()
        if step is IssuedCallStep.REFUSE_FULL:
            # The key has not expired and is not in the table, so it has not been used.
            return answer_unsent_call("too many issued keys are in use", RunState.NOT_RUN)
        return _answer_without_issuer()

    async def _send(self, key: IssuedKey, request: ServiceRequest) -> CallerResponse:
        def check() -> bool:
            now = self._read_unix_time()
            if not self._table.may_send(key, now):
                return False
            self._table.record_sent(key, now)
            return True

        sent = await self._sender.send(request, idempotent=False, check=check)
        if not isinstance(sent, Err):
            response = sent.ok_value
            fits = self._table.has_room_for(response.body)
            self._table.finish(key, make_outcome(response, keep_body=fits))
            return response
        if sent.err_value.sent:
            lost = answer_lost_call(sent.err_value.reason)
            self._table.finish(key, make_lost_outcome(lost))
            return lost
        self._table.release(key)
        return answer_unsent_call(sent.err_value.reason, RunState.NOT_RUN)


def _answer_without_issuer() -> CallerResponse:
    message = "The daemon that issued this key is gone or the key's deadline has passed."
    return create_failure_response(409, "call_outcome_unknown", message, RunState.UNKNOWN)


def _answer_running() -> CallerResponse:
    message = "A call under this key is still running."
    return create_failure_response(409, "call_running", message, RunState.UNKNOWN)


def _read_count(body: bytes) -> int | None:
    if not body:
        return 1
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    count = content.get("count", 1) if isinstance(content, dict) else None
    valid = isinstance(count, int) and not isinstance(count, bool) and 1 <= count <= MAX_KEYS
    return count if valid else None
