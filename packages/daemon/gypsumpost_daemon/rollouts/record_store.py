"""The durable records of roll-outs in the store."""

from collections.abc import Callable

import trio
from result import Err, Ok, Result

from gypsumpost_core.gateway.store_position import read_token
from gypsumpost_core.rollouts.rollout_record import RolloutRecord
from gypsumpost_daemon.gateway.item_transaction import ItemTransaction, ItemWrite
from gypsumpost_daemon.gateway.write_failure import WriteFailure
from gypsumpost_daemon.rollouts.checked_store import CheckedStore
from gypsumpost_daemon.rollouts.decider_lease import build_decider_key
from gypsumpost_daemon.rollouts.record_codec import decode_record, encode_record
from gypsumpost_daemon.telemetry.log import Log

RECORD_PREFIX = "gypsumpost/rollouts/records/"
CALL_SECONDS = 1.0

LOG = Log(prefix="rollout")


class RecordStore:
    """Reads the records, and writes one on condition that it is unchanged.

    :param store: the store.
    :param encode_status: returns the key and value of the status that operators read.
    """

    def __init__(
        self, *, store: CheckedStore, encode_status: Callable[[RolloutRecord], tuple[str, bytes]]
    ) -> None:
        self._store = store
        self._encode_status = encode_status
        self._revisions: dict[str, int] = {}
        self.records: dict[str, RolloutRecord] = {}

    async def read(self) -> Result[None, str]:
        """Read all records."""
        read = await self._store.read(RECORD_PREFIX, trio.current_time() + CALL_SECONDS)
        if isinstance(read, Err):
            return read
        self.records.clear()
        self._revisions.clear()
        for item in read.ok_value.items:
            service = item.key.removeprefix(RECORD_PREFIX)
            self._revisions[service] = item.revision
            decoded = decode_record(item.value or b"")
            if isinstance(decoded, Err):
                LOG.write("cannot decode a record", key=item.key, reason=decoded.err_value)
            else:
                self.records[service] = decoded.ok_value
        return Ok(None)

    async def write(self, record: RolloutRecord) -> Result[None, WriteFailure]:
        """Write a record and its status.

        The condition holds only while the lease, whose token is the record's, is still held, and
        while no other write has changed the record.

        :param record: the record.
        """
        key = RECORD_PREFIX + record.service
        status_key, status = self._encode_status(record)
        lease = read_token(record.fencing_token)
        transaction = ItemTransaction(
            expected={
                build_decider_key(lease.era): lease.revision,
                key: self._revisions.get(record.service, 0),
            },
            writes=(
                ItemWrite(key=key, value=encode_record(record)),
                ItemWrite(key=status_key, value=status),
            ),
        )
        written = await self._store.commit(transaction, trio.current_time() + CALL_SECONDS)
        if isinstance(written, Err):
            return written
        self._revisions[record.service] = written.ok_value.revision
        self.records[record.service] = record
        return Ok(None)
