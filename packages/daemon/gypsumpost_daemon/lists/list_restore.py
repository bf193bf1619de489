"""Stores the newest known lists again after the store has come back from an older copy."""

import secrets
import time

from result import Err, Ok, Result

from gypsumpost_core.lists.history_record import HistoryRecord
from gypsumpost_core.lists.list_difference import compute_difference
from gypsumpost_core.lists.lists import Lists
from gypsumpost_daemon.lists.list_editor import NONCE_BYTES, create_edit_transaction
from gypsumpost_daemon.lists.stored_lists import StoredLists
from gypsumpost_daemon.store.store import Store
from gypsumpost_daemon.store.store_failure import StoreFailure

AUTHOR = "gypsumpost (after a restore of the store)"

REVISION_STEP = 1_000
"""Hosts may know different revisions when one of them stores its lists again; the new revision is
higher than all of them."""


async def restore_lists(
    store: Store, stored: StoredLists, known: Lists, deadline: float
) -> Result[bool, StoreFailure]:
    """Store lists that are newer than the stored ones, as one more revision.

    :param store: the platform's store.
    :param stored: the lists in the store.
    :param known: the newer lists.
    :param deadline: monotonic time in seconds at which to stop waiting.
    :returns: false if the stored lists have changed meanwhile.
    """
    record = HistoryRecord(
        revision=known.revision + REVISION_STEP,
        nonce=secrets.token_hex(NONCE_BYTES),
        author=AUTHOR,
        time=time.time(),
        edits=compute_difference(stored.lists, known),
    )
    done = await store.run_transaction(create_edit_transaction(stored, record), deadline)
    return done if isinstance(done, Err) else Ok(done.ok_value.succeeded)
