"""Handlers for the operators' lists in the administration interface."""

import trio
from result import Err

from gypsumpost_core.lists.list_difference import format_edits, merge_edits
from gypsumpost_core.lists.list_file import format_list
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_daemon.admin.admin_application import AdminApplication
from gypsumpost_daemon.admin.admin_edits import describe_outcome, get_author, get_edit_deadline
from gypsumpost_daemon.admin.admin_request import AdminRequest
from gypsumpost_daemon.admin.admin_response import create_error_response, create_json_response
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.lists.host_revisions import fetch_revisions
from gypsumpost_daemon.lists.list_editor import ListEditor
from gypsumpost_daemon.lists.list_task import ListTask
from gypsumpost_daemon.lists.stored_lists import read_history, read_lists
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store

READ_SECONDS = 3.0
HISTORY_RECORDS = 50
MAX_HISTORY_RECORDS = 1000
KIND_PATTERN = r"/admin/v1/(?P<kind>plans|allowances)"


class AdminLists:
    """Handlers for the operators' lists.

    :param store: the platform's store.
    :param task: task that keeps this daemon's replica of the lists.
    :param directory: the known hosts.
    :param eras: judges the store's answers, ``None`` for a store without eras.
    """

    def __init__(
        self,
        *,
        store: Store,
        task: ListTask,
        directory: HostDirectory,
        eras: EraMonitor | None = None,
    ) -> None:
        self._store = store
        self._task = task
        self._directory = directory
        self._editor = ListEditor(
            store=store, get_known_revision=lambda: task.known_revision, eras=eras
        )

    def add_routes(self, application: AdminApplication) -> None:
        """Register the handlers.

        :param application: the administration interface.
        """
        application.add_route("GET", KIND_PATTERN, self.show)
        application.add_route("PUT", KIND_PATTERN, self.replace)
        application.add_route("GET", KIND_PATTERN + "/history", self.list_history)
        application.add_route("GET", KIND_PATTERN + "/diff", self.show_difference)
        application.add_route("POST", KIND_PATTERN + "/undo", self.undo)
        application.add_route("GET", "/admin/v1/revisions", self.list_revisions)
        application.add_route("GET", "/admin/v1/status", self.show_status)

    async def show(self, request: AdminRequest, kind: str) -> CallerResponse:
        """Return a list as TOML, from the store or, if that fails, from this daemon's replica."""
        read = await read_lists(self._store, trio.current_time() + READ_SECONDS)
        lists = self._task.lists if isinstance(read, Err) else read.ok_value.lists
        entries = lists.get_entries(ListKind(kind)).values()
        headers = {
            "content-type": "application/toml",
            "etag": str(lists.revision),
            "x-source": "memory" if isinstance(read, Err) else "store",
        }
        return CallerResponse(status=200, headers=headers, body=format_list(entries).encode())

    async def replace(self, request: AdminRequest, kind: str) -> CallerResponse:
        """Replace a list; ``If-Match`` names the revision that was edited."""
        base = _parse_number(request.headers.get("if-match", ""))
        if base is None:
            message = "The header If-Match must give the revision that was edited."
            return create_error_response(428, "revision_missing", message)
        try:
            text = request.body.decode()
        except UnicodeDecodeError:
            return create_error_response(422, "not_utf8", "The list must be UTF-8 text.")
        outcome = await self._editor.replace_list(
            ListKind(kind),
            text,
            base=base,
            author=get_author(request),
            deadline=get_edit_deadline(),
        )
        return describe_outcome(outcome)

    async def undo(self, request: AdminRequest, kind: str) -> CallerResponse:
        """Revert the revision given by the query parameter ``revision``."""
        revision = _parse_number(request.query.get("revision", ""))
        if revision is None:
            return _create_number_error("revision")
        outcome = await self._editor.undo(
            ListKind(kind), revision, author=get_author(request), deadline=get_edit_deadline()
        )
        return describe_outcome(outcome)

    async def list_history(self, request: AdminRequest, kind: str) -> CallerResponse:
        """Return the newest history records that changed a list, at most ``limit``."""
        limit = _parse_number(request.query.get("limit", str(HISTORY_RECORDS)))
        if limit is None:
            return _create_number_error("limit")
        last = self._task.revision
        first = max(1, last + 1 - MAX_HISTORY_RECORDS)
        history = await read_history(self._store, first, last, trio.current_time() + READ_SECONDS)
        if isinstance(history, Err):
            return create_error_response(503, "no_store", history.err_value.reason)
        rows = [
            {
                "revision": record.revision,
                "author": record.author,
                "time": record.time,
                "entries": [edit.key.name for edit in record.edits if edit.key.kind.value == kind],
            }
            for record in reversed(history.ok_value)
        ]
        return create_json_response(200, [row for row in rows if row["entries"]][:limit])

    async def show_difference(self, request: AdminRequest, kind: str) -> CallerResponse:
        """Return the changes after revision ``from`` up to and including revision ``to``."""
        last = _parse_number(request.query.get("to", str(self._task.revision)))
        first = _parse_number(request.query.get("from", str(max(0, (last or 0) - 1))))
        if first is None or last is None:
            return _create_number_error("from and to")
        first = max(first, last - MAX_HISTORY_RECORDS)
        deadline = trio.current_time() + READ_SECONDS
        history = await read_history(self._store, first + 1, last, deadline)
        if isinstance(history, Err):
            return create_error_response(503, "no_store", history.err_value.reason)
        merged = merge_edits(history.ok_value)
        text = format_edits(tuple(edit for edit in merged if edit.key.kind.value == kind))
        headers = {"content-type": "text/plain; charset=utf-8"}
        return CallerResponse(status=200, headers=headers, body=text.encode())

    async def list_revisions(self, request: AdminRequest) -> CallerResponse:
        """Return the list revision that each live host uses, ``null`` if it does not answer."""
        revisions = await fetch_revisions(self._directory, self._task)
        return create_json_response(200, {"revisions": revisions})

    async def show_status(self, request: AdminRequest) -> CallerResponse:
        """Return the revision and the state of this daemon's replica of the lists."""
        content = {"host_id": self._directory.own.host_id, "lists": self._task.status}
        return create_json_response(200, content)


def _create_number_error(name: str) -> CallerResponse:
    return create_error_response(400, "not_a_number", f"{name} must be a whole number from 0.")


def _parse_number(text: str) -> int | None:
    digits = text.strip('"')
    # A number of at most 15 digits fits into the store's keys and is exact in JSON.
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= 15 else None
