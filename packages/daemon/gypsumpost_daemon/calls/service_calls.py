"""Calls to plain services: idempotent, claimed, under issued keys, or without a key."""

import time
from collections.abc import Awaitable, Callable

import trio
from result import Err

from gypsumpost_core.calls.issued_call_table import IssuedCallTable
from gypsumpost_core.calls.issued_key import parse_issued_key
from gypsumpost_core.calls.issued_key_signer import IssuedKeySigner
from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_request import CallerRequest
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.callers.error_body import encode_not_run
from gypsumpost_daemon.calls.call_answers import answer_lost_call, answer_unsent_call, echo_headers
from gypsumpost_daemon.calls.claim_mode import ClaimMode
from gypsumpost_daemon.calls.claimed_calls import ClaimedCalls
from gypsumpost_daemon.calls.deferred_claim_writer import DeferredClaimWriter
from gypsumpost_daemon.calls.issued_call_messages import decode_request, encode_response
from gypsumpost_daemon.calls.issued_calls import IssuedCalls
from gypsumpost_daemon.calls.service_request import ServiceRequest, read_service_request
from gypsumpost_daemon.calls.service_sender import ServiceSender
from gypsumpost_daemon.engines.answer_memory import AnswerMemory
from gypsumpost_daemon.limits.endpoint_signals import EndpointSignals
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.peers.peer_request import PeerRequest

KEYS_TARGET = "/keys"
MAX_KEY_CHARACTERS = 512


class ServiceCalls:
    """Handles all requests below ``/v1/services/``.

    :param directory: the known hosts.
    :param incarnation: incarnation of this daemon, different after each start.
    :param network: connections to other daemons.
    :param claims: executes claim orders in the store; this object's ``run`` starts its ``run``.
    :param secret: the deployment's shared key, which signs issued keys.
    :param list_endpoints: returns the known endpoints; leaving ones receive no requests.
    :param signals: what endpoints say about themselves.
    :param answer_memory: memory of the unfinished answers of endpoints.
    :param read_unix_time: returns the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        incarnation: int,
        network: PeerNetwork,
        claims: ClaimMode,
        secret: bytes,
        list_endpoints: Callable[[], list[Endpoint]],
        signals: EndpointSignals,
        answer_memory: AnswerMemory | None = None,
        read_unix_time: Callable[[], float] = time.time,
    ) -> None:
        own = directory.own
        self._claims = claims
        self._deferred_writer = DeferredClaimWriter(claims=claims)
        self._read_unix_time = read_unix_time
        self._nursery: trio.Nursery | None = None
        self._sender = ServiceSender(
            list_endpoints=list_endpoints,
            failure_domain=own.failure_domain,
            signals=signals,
            answer_memory=answer_memory,
        )
        self._claimed = ClaimedCalls(
            directory=directory,
            incarnation=incarnation,
            claims=claims,
            deferred_writer=self._deferred_writer,
            sender=self._sender,
            read_unix_time=read_unix_time,
        )
        self._issued = IssuedCalls(
            table=IssuedCallTable(issuer=own.host_id, incarnation=incarnation),
            signer=IssuedKeySigner(secret=secret),
            own_host=own.host_id,
            network=network,
            sender=self._sender,
            read_unix_time=read_unix_time,
        )
        network.add_handler(MessageKind.RUN_ISSUED_CALL, self._serve_issued_call)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run background tasks until cancelled, including calls whose caller has disconnected."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._claims.run)
            nursery.start_soon(self._deferred_writer.run)
            task_status.started()
            await trio.sleep_forever()

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a caller's request.

        :param request: the authenticated request.
        """
        call = read_service_request(request)
        if call is None:
            return encode_not_run(404, "unknown_path", "The path does not name a service.")
        if len(call.key) > MAX_KEY_CHARACTERS:
            message = f"The idempotency key is longer than {MAX_KEY_CHARACTERS} characters."
            return encode_not_run(400, "invalid_idempotency_key", message)
        if request.method == "POST" and call.target == KEYS_TARGET:
            return self._issued.issue_keys(call)
        return echo_headers(call, await self._run(call))

    async def _run(self, call: ServiceRequest) -> CallerResponse:
        if call.is_idempotent:
            return await self._send_unclaimed(call, idempotent=True)
        nursery = self._nursery
        if nursery is None:
            return answer_unsent_call("the daemon is starting", RunState.UNKNOWN)
        if not call.key:
            return await _run_detached(
                nursery, lambda: self._send_unclaimed(call, idempotent=False)
            )
        if parse_issued_key(call.key) is not None:
            return await _run_detached(nursery, lambda: self._issued.run_call(call))
        return await _run_detached(nursery, lambda: self._claimed.run_call(call))

    async def _send_unclaimed(self, call: ServiceRequest, idempotent: bool) -> CallerResponse:
        sent = await self._sender.send(call, idempotent=idempotent)
        if not isinstance(sent, Err):
            return sent.ok_value
        if sent.err_value.sent:
            return answer_lost_call(sent.err_value.reason)
        opens_at = sent.err_value.opens_at
        retry_at = None
        if opens_at is not None:
            retry_at = self._read_unix_time() + opens_at - trio.current_time()
        return answer_unsent_call(sent.err_value.reason, RunState.NOT_RUN, retry_at)

    async def _serve_issued_call(self, request: PeerRequest) -> bytes:
        offset = self._read_unix_time() - trio.current_time()
        call = read_service_request(decode_request(request.payload, offset))
        if call is None or self._nursery is None:
            refusal = answer_unsent_call("the issuer is not ready", RunState.UNKNOWN)
            return encode_response(refusal)
        response = await _run_detached(self._nursery, lambda: self._issued.run_call(call))
        return encode_response(response)


async def _run_detached(
    nursery: trio.Nursery, run: Callable[[], Awaitable[CallerResponse]]
) -> CallerResponse:
    # If the caller disconnects, its request is cancelled; the call itself continues in the daemon's
    # nursery, so that its outcome is stored for a retry.
    done = trio.Event()
    responses: list[CallerResponse] = []

    async def execute() -> None:
        responses.append(await run())
        done.set()

    nursery.start_soon(execute)
    await done.wait()
    return responses[0]
