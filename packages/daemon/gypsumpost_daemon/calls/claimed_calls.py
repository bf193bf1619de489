"""Non-idempotent calls under a caller-chosen key."""

import random
import secrets
from collections.abc import Callable

import attrs
import trio
from result import Err

from gypsumpost_core.calls.call_retry_budget import CallRetryBudget
from gypsumpost_core.calls.claim import Claim
from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.claim_record import ClaimRecord
from gypsumpost_core.calls.claim_reply import ClaimReply
from gypsumpost_core.calls.claim_step import ClaimStep
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.calls.call_answers import (
    answer_lost_call,
    answer_unsent_call,
    create_failure_response,
    make_lost_outcome,
    make_outcome,
    refuse_mismatch,
    replay_outcome,
)
from gypsumpost_daemon.calls.claim_codec import decode_record, encode_record
from gypsumpost_daemon.calls.claim_mode import ClaimMode
from gypsumpost_daemon.calls.claim_order import ClaimOrder
from gypsumpost_daemon.calls.claim_order_kind import ClaimOrderKind
from gypsumpost_daemon.calls.deferred_claim_writer import DeferredClaimWriter
from gypsumpost_daemon.calls.service_request import ServiceRequest
from gypsumpost_daemon.calls.service_sender import ServiceSender
from gypsumpost_daemon.peers.host_directory import HostDirectory

CLAIM_SECONDS = 10.0
"""The first byte is sent within this time after the claim is made, or not at all."""

READ_BACK_RATIO = 0.05
"""Half of the retries allowed by docs/design.md section 1.7; the other half is reserved for
background writes of outcomes and removals."""

WAIT_SECONDS = 0.2
"""Mean interval of polls for the outcome of a call that another owner runs."""


class ClaimedCalls:
    """Claims each call in the store before sending it, and stores its outcome afterwards.

    :param directory: the known hosts.
    :param incarnation: incarnation of this daemon.
    :param claims: executes claim orders in the store.
    :param deferred_writer: stores outcomes and removes unused claims in the background.
    :param sender: sends requests to the services.
    :param read_unix_time: returns the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        directory: HostDirectory,
        incarnation: int,
        claims: ClaimMode,
        deferred_writer: DeferredClaimWriter,
        sender: ServiceSender,
        read_unix_time: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._incarnation = incarnation
        self._claims = claims
        self._deferred_writer = deferred_writer
        self._sender = sender
        self._read_unix_time = read_unix_time
        self._budget = CallRetryBudget(ratio=READ_BACK_RATIO)
        self._rng = random.Random()

    async def run_call(self, request: ServiceRequest) -> CallerResponse:
        """Run a call, or return the outcome of an earlier request under its key.

        :param request: the request with its key.
        """
        self._budget.record_first_attempt()
        claim = self._create_claim(request)
        key = b"/gypsumpost/calls/" + request.key_digest.encode()
        order = ClaimOrder(kind=ClaimOrderKind.CREATE, key=key, value=encode_record(claim.record))
        step, stored = await self._acquire_claim(claim, order, request.caller.deadline)
        if step is ClaimStep.SEND:
            response, outcome = await self._send(claim, request)
        else:
            response, outcome = self._answer_unclaimed(claim, step, stored), None
        if outcome is not None:
            self._deferred_writer.add(self._create_outcome_order(order, claim.record, outcome))
        elif claim.needs_removal:
            store_failed = step is ClaimStep.REFUSE_STORE
            self._deferred_writer.add(self._create_removal_order(order), store_failed)
        return response

    def _create_claim(self, request: ServiceRequest) -> Claim:
        now = self._read_unix_time()
        remaining = request.caller.deadline - trio.current_time()
        record = ClaimRecord(
            owner=self._directory.own.host_id,
            incarnation=self._incarnation,
            nonce=secrets.token_hex(16),
            deadline=now + min(remaining, CLAIM_SECONDS),
            request_digest=request.request_digest,
        )
        return Claim(record=record, first_attempt=request.is_first_attempt)

    async def _acquire_claim(
        self, claim: Claim, order: ClaimOrder, deadline: float
    ) -> tuple[ClaimStep, ClaimRecord | None]:
        while True:
            reply = await self._submit_claim(claim, order, deadline)
            lost = reply.stored is not None and self._is_lost(reply.stored)
            step = claim.decide(reply, self._read_unix_time(), lost)
            if step is ClaimStep.WAIT:
                pause = WAIT_SECONDS * self._rng.uniform(0.5, 1.5)
                if trio.current_time() + pause >= deadline:
                    return ClaimStep.ANSWER_UNKNOWN, reply.stored
                await trio.sleep(pause)
            elif step is not ClaimStep.READ_BACK:
                return step, reply.stored
            elif trio.current_time() >= deadline or not self._budget.try_acquire():
                return ClaimStep.REFUSE_STORE, None

    async def _submit_claim(self, claim: Claim, order: ClaimOrder, deadline: float) -> ClaimReply:
        result = await self._claims.submit(order, deadline)
        if isinstance(result, Err):
            return ClaimReply(created=False, stored=None, sent=result.err_value.sent)
        reply = result.ok_value
        if reply.applied:
            return ClaimReply(created=True, stored=claim.record)
        if reply.current is None:
            return ClaimReply(created=False, stored=None)
        return ClaimReply(created=False, stored=decode_record(reply.current))

    def _is_lost(self, stored: ClaimRecord) -> bool:
        if stored.owner == self._directory.own.host_id:
            return stored.incarnation != self._incarnation
        return not self._directory.is_live(stored.owner)

    async def _send(
        self, claim: Claim, request: ServiceRequest
    ) -> tuple[CallerResponse, ClaimOutcome | None]:
        def check() -> bool:
            now = self._read_unix_time()
            if not claim.may_send(now):
                return False
            claim.record_sent(now)
            return True

        sent = await self._sender.send(request, idempotent=False, check=check)
        if not isinstance(sent, Err):
            return sent.ok_value, make_outcome(sent.ok_value)
        if sent.err_value.sent:
            lost = answer_lost_call(sent.err_value.reason)
            return lost, make_lost_outcome(lost)
        return self._refuse(claim, sent.err_value.reason), None

    def _answer_unclaimed(
        self, claim: Claim, step: ClaimStep, stored: ClaimRecord | None
    ) -> CallerResponse:
        if step is ClaimStep.RETURN_OUTCOME and stored is not None and stored.outcome is not None:
            return replay_outcome(stored.outcome)
        if step is ClaimStep.REFUSE_MISMATCH:
            return refuse_mismatch()
        if step is ClaimStep.REFUSE_STORE:
            return self._refuse(claim, "the platform's store does not answer")
        message = "Another daemon claimed this call and its outcome is not known."
        return create_failure_response(409, "call_outcome_unknown", message, RunState.UNKNOWN)

    def _refuse(self, claim: Claim, reason: str) -> CallerResponse:
        claim.abandon()
        run_state = claim.find_run_state()
        claim.check_answer(run_state)
        return answer_unsent_call(reason, run_state)

    def _create_outcome_order(
        self, order: ClaimOrder, record: ClaimRecord, outcome: ClaimOutcome
    ) -> ClaimOrder:
        return ClaimOrder(
            kind=ClaimOrderKind.REPLACE,
            key=order.key,
            expected=order.value,
            value=encode_record(attrs.evolve(record, outcome=outcome)),
        )

    def _create_removal_order(self, order: ClaimOrder) -> ClaimOrder:
        return ClaimOrder(kind=ClaimOrderKind.REMOVE, key=order.key, expected=order.value)
