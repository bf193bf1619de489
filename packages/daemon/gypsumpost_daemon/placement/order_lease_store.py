"""Calls to the store for the lease of a failure domain's orders."""

import secrets
from collections.abc import Callable

import attrs
import trio
from result import Err

from gypsumpost_core.placement.lease_record import LeaseRecord
from gypsumpost_core.placement.lease_step import LeaseAction, LeaseStep
from gypsumpost_core.placement.lease_view import LeaseView
from gypsumpost_core.placement.order_lease import OrderLease
from gypsumpost_daemon.lists.list_records import decode_record, encode_record
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_transaction import (
    StoreCompare,
    StoreGet,
    StorePut,
    StoreTransaction,
)
from gypsumpost_daemon.store.store_transaction_result import StoreTransactionResult

PREFIX = "/gypsumpost/orders/"
CALL_SECONDS = 2.0
NONCE_BYTES = 16


@attrs.define(kw_only=True)
class OrderLeaseStore:
    """Makes the store calls for the lease's state machine.

    The record ``orders/<domain>`` is kept after the store's lease expires, so that the fencing
    token only ever increases. The key ``orders/<domain>/held`` is attached to the store's lease and
    is deleted with it.

    :param store: the platform's store.
    :param domain: the failure domain.
    :param eras: judges the store's answers.
    :param create_nonce: returns a new nonce for each acquisition of the lease.
    """

    store: Store
    domain: str
    eras: EraMonitor = attrs.field(factory=EraMonitor)
    create_nonce: Callable[[], str] = lambda: secrets.token_hex(NONCE_BYTES)

    def follow_era(self, lease: OrderLease) -> None:
        """Tell a state machine of each answer that names a higher era.

        :param lease: the state machine.
        """
        self.eras.add_sighting_listener(lambda: lease.record_new_era(trio.current_time()))

    async def run_step(self, lease: OrderLease, step: LeaseStep) -> None:
        """Make the store call of a step and report its result to the state machine.

        :param lease: the state machine.
        :param step: the step that it chose, other than ``WAIT``.
        """
        sent_at = trio.current_time()
        deadline = sent_at + CALL_SECONDS
        if step.action is LeaseAction.GRANT:
            granted = await self.store.grant_lease(lease.settings.ttl, deadline)
            if isinstance(granted, Err):
                lease.record_no_answer(trio.current_time())
            else:
                era = self.eras.era
                lease.record_granted(granted.ok_value, self.create_nonce(), sent_at, era)
        elif step.action is LeaseAction.RENEW:
            kept = await self.store.renew_lease(step.store_lease, deadline)
            if isinstance(kept, Err):
                lease.record_no_answer(trio.current_time())
            else:
                lease.record_renewed(kept.ok_value, sent_at)
        else:
            await self._run_transaction(lease, step, deadline)

    async def _run_transaction(self, lease: OrderLease, step: LeaseStep, deadline: float) -> None:
        outcome = await self.store.run_transaction(
            build_lease_transaction(self.domain, step), deadline
        )
        now = trio.current_time()
        if isinstance(outcome, Err):
            lease.record_no_answer(now)
        elif step.action is LeaseAction.ACQUIRE and outcome.ok_value.succeeded:
            lease.record_acquired(now)
        else:
            lease.record_read(read_view(outcome.ok_value), now)


def build_lease_transaction(domain: str, step: LeaseStep) -> StoreTransaction:
    """Return the transaction for a step that reads or acquires the lease.

    :param domain: the failure domain.
    :param step: a ``READ`` or ``ACQUIRE`` step.
    """
    key = f"{PREFIX}{domain}".encode()
    held_key = key + b"/held"
    reads = (StoreGet(key=key), StoreGet(key=held_key))
    if step.record is None:
        return StoreTransaction(success=reads)
    nonce = step.record.nonce.encode()
    return StoreTransaction(
        compare=(
            StoreCompare(key=key, mod_revision=step.revision),
            StoreCompare(key=held_key, create_revision=0),
        ),
        success=(
            StorePut(key=key, value=encode_record(step.record)),
            StorePut(key=held_key, value=nonce, lease=step.store_lease),
        ),
        failure=reads,
    )


def read_view(result: StoreTransactionResult) -> LeaseView:
    """Return the lease state that a transaction read.

    :param result: result of a transaction that read the record and the ``held`` key.
    """
    records, held = result.results
    assert isinstance(records, tuple) and isinstance(held, tuple)
    if not records:
        return LeaseView(record=None, revision=0, held=bool(held))
    record = decode_record(records[0].value, LeaseRecord)
    return LeaseView(record=record, revision=records[0].mod_revision, held=bool(held))
