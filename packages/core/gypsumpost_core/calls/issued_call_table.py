"""The issuer's in-memory table of used keys."""

import heapq

from gypsumpost_core.calls.claim_outcome import ClaimOutcome
from gypsumpost_core.calls.issued_call import IssuedCall
from gypsumpost_core.calls.issued_call_step import IssuedCallStep
from gypsumpost_core.calls.issued_key import IssuedKey
from gypsumpost_core.invariant import Invariant, require

MAX_CALLS = 100_000
MAX_OUTCOME_BYTES = 16 * 1024 * 1024


class IssuedCallTable:
    """Issues keys and allows each of them to run once.

    Only used keys are stored, each until its deadline. After the deadline the key is no longer
    accepted, so its state is not needed to prevent a second run.

    :param issuer: host id of this daemon.
    :param incarnation: incarnation of this daemon.
    :param max_calls: maximum number of used keys in memory; beyond it unused keys are refused.
    :param max_outcome_bytes: maximum total size of stored bodies; beyond it outcomes are stored
        without a body.
    """

    def __init__(
        self,
        *,
        issuer: str,
        incarnation: int,
        max_calls: int = MAX_CALLS,
        max_outcome_bytes: int = MAX_OUTCOME_BYTES,
    ) -> None:
        self._issuer = issuer
        self._incarnation = incarnation
        self._max_calls = max_calls
        self._max_outcome_bytes = max_outcome_bytes
        self._outcome_bytes = 0
        self._next_serial = 1
        self._latest_time = 0.0
        self._calls: dict[int, IssuedCall] = {}
        self._expiry: list[tuple[float, int]] = []

    def issue_keys(self, count: int, deadline: int) -> list[IssuedKey]:
        """Issue new keys.

        :param count: number of keys.
        :param deadline: Unix time in whole seconds after which the keys are not accepted.
        """
        serials = range(self._next_serial, self._next_serial + count)
        self._next_serial += count
        return [
            IssuedKey(
                issuer=self._issuer,
                incarnation=self._incarnation,
                deadline=deadline,
                serial=serial,
            )
            for serial in serials
        ]

    def begin(self, key: IssuedKey, request_digest: str, now: float) -> IssuedCallStep:
        """Return the next step for a request under a key whose signature has been verified.

        :param key: the key.
        :param request_digest: digest of method, path and body.
        :param now: Unix time in seconds.
        """
        # Setting back the wall clock must not make expired keys valid again.
        self._latest_time = max(self._latest_time, now)
        self._expire(self._latest_time)
        if not self._is_own(key) or self._latest_time >= key.deadline:
            return IssuedCallStep.ANSWER_UNKNOWN
        call = self._calls.get(key.serial)
        if call is None:
            return self._begin_new(key, request_digest)
        if call.request_digest != request_digest:
            return IssuedCallStep.REFUSE_MISMATCH
        return IssuedCallStep.WAIT if call.outcome is None else IssuedCallStep.RETURN_OUTCOME

    def may_send(self, key: IssuedKey, now: float) -> bool:
        """Return whether the call may be sent; checked right before the first byte.

        :param key: the key.
        :param now: Unix time in seconds.
        """
        call = self._calls.get(key.serial)
        usable = self._is_own(key) and now < key.deadline
        return usable and call is not None and not call.sent and call.outcome is None

    def record_sent(self, key: IssuedKey, now: float) -> None:
        """Record that the first byte is about to be sent.

        :param key: the key.
        :param now: Unix time in seconds.
        :raises BrokenInvariant: if the call may not be sent under this key now.
        """
        call = self._calls.get(key.serial)
        require(Invariant.AT_MOST_ONCE, self.may_send(key, now), {"key": key, "call": call})
        assert call is not None
        call.sent = True

    def finish(self, key: IssuedKey, outcome: ClaimOutcome) -> None:
        """Store the outcome of a sent call for retries; ignored if the key has expired.

        :param key: the key.
        :param outcome: the outcome.
        """
        call = self._calls.get(key.serial)
        if call is None:
            return
        self._outcome_bytes += len(outcome.body)
        call.outcome = outcome

    def release(self, key: IssuedKey) -> None:
        """Remove a call that was not sent, so that a retry may run it.

        :param key: the key.
        :raises BrokenInvariant: if the call was sent.
        """
        call = self._calls.pop(key.serial, None)
        sent = call is not None and call.sent
        require(Invariant.TRUTHFUL_NOT_RUN, not sent, {"key": key, "call": call})

    def find_outcome(self, key: IssuedKey) -> ClaimOutcome | None:
        """Return the outcome of a call, ``None`` if it is running or not in the table.

        :param key: the key.
        """
        call = self._calls.get(key.serial)
        return call.outcome if call is not None else None

    def has_room_for(self, body: bytes) -> bool:
        """Return whether a body fits within ``max_outcome_bytes``.

        :param body: body of an outcome.
        """
        return self._outcome_bytes + len(body) <= self._max_outcome_bytes

    def count(self) -> int:
        """Return the number of used keys in memory."""
        return len(self._calls)

    def _is_own(self, key: IssuedKey) -> bool:
        return key.issuer == self._issuer and key.incarnation == self._incarnation

    def _begin_new(self, key: IssuedKey, request_digest: str) -> IssuedCallStep:
        if len(self._calls) >= self._max_calls:
            return IssuedCallStep.REFUSE_FULL
        call = IssuedCall(deadline=key.deadline, request_digest=request_digest)
        self._calls[key.serial] = call
        heapq.heappush(self._expiry, (key.deadline, key.serial))
        return IssuedCallStep.RUN

    def _expire(self, now: float) -> None:
        while self._expiry and self._expiry[0][0] <= now:
            call = self._calls.pop(heapq.heappop(self._expiry)[1], None)
            if call is not None and call.outcome is not None:
                self._outcome_bytes -= len(call.outcome.body)
