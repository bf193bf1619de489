"""Pages of the member table for table comparisons."""

import bisect
import itertools

from gypsumpost_core.membership.member_update import MemberUpdate
from gypsumpost_core.membership.membership_outbox import MembershipOutbox

MAX_PAGE_ENTRIES = 16
"""More entries than fit into a datagram."""


class TablePages:
    """Reads the table page by page in the order of host ids.

    :param outbox: determines how many entries fit into a page.
    """

    def __init__(self, *, outbox: MembershipOutbox) -> None:
        self._outbox = outbox
        self._table = outbox.table
        self._host_ids: list[str] = []
        self._member_ids_version = -1

    def read_page(self, cursor: str, own_domain: bool) -> tuple[tuple[MemberUpdate, ...], str]:
        """Return the entries after a host id and the position for the next page.

        :param cursor: host id after which the page begins, empty for the first page.
        :param own_domain: true to include only the hosts of this domain.
        """
        entries = self._read_entries(cursor, own_domain)
        page = self._outbox.fill_page(entries)
        end = len(page) == len(entries)
        return page, "" if end else page[-1].host.host_id

    def _read_entries(self, cursor: str, own_domain: bool) -> list[MemberUpdate]:
        self._sort()
        start = bisect.bisect_right(self._host_ids, cursor)
        domain = self._table.own.host.failure_domain
        entries: list[MemberUpdate] = []
        for host_id in itertools.islice(self._host_ids, start, None):
            member = self._table.get(host_id)
            if member is None or (own_domain and member.host.failure_domain != domain):
                continue
            entries.append(member.create_update())
            if len(entries) == MAX_PAGE_ENTRIES:
                break
        return entries

    def _sort(self) -> None:
        if self._member_ids_version != self._table.member_ids_version:
            self._member_ids_version = self._table.member_ids_version
            self._host_ids = sorted(m.host.host_id for m in self._table.list_members())
