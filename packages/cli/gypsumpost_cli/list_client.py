"""Client for the operators' lists."""

import getpass
import re
import time
from collections.abc import Mapping

import attrs
import orjson
from result import Err, Ok, Result

from gypsumpost_cli.admin_client import AdminClient
from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_core.lists.list_entry import ListEntry
from gypsumpost_core.lists.list_file import format_list, parse_list
from gypsumpost_core.lists.list_kind import ListKind

REVISION_LINE = re.compile(r"# revision (\d+)\b")
POLL_INTERVAL_SECONDS = 0.2


@attrs.frozen(kw_only=True)
class ListClient:
    """Reads and edits one list.

    :param client: client of a daemon's administration interface.
    :param kind: which list.
    """

    client: AdminClient
    kind: ListKind

    def show(self) -> Result[str, CommandFailure]:
        """Return the list as TOML with the revision in the first line."""
        read = self.client.read(self.kind.value)
        if isinstance(read, Err):
            return read
        reply = read.ok_value
        suffix = "" if reply.headers["x-source"] == "store" else " (the store did not answer)"
        return Ok(f"# revision {reply.headers['etag']}{suffix}\n\n{reply.body.decode()}")

    def apply(self, text: str, revision: int | None) -> Result[int, CommandFailure]:
        """Replace the list.

        :param text: the new list as TOML.
        :param revision: the revision that was edited; ``None`` to read it from the first line.
        :returns: the new revision.
        """
        revision_line = REVISION_LINE.match(text)
        if revision is None and revision_line is None:
            message = "--revision: required, as the first line of the file is not '# revision N'"
            return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
        base = str(revision) if revision is not None else revision_line[1] if revision_line else ""
        return self._send_change("PUT", self.kind.value, text.encode(), if_match=base)

    def set_entry(
        self, name: str, entry: ListEntry | None, current: Mapping[str, ListEntry], revision: int
    ) -> Result[int, CommandFailure]:
        """Set or remove one entry.

        :param name: name of the entry.
        :param entry: the new entry, ``None`` to remove it.
        :param current: the entries of the list by name, as last read.
        :param revision: the revision of ``current``.
        :returns: the new revision.
        """
        entries = dict(current)
        entries.pop(name, None)
        if entry is not None:
            entries[name] = entry
        return self.apply(format_list(entries.values()), revision)

    def read_entries(self) -> Result[tuple[int, dict[str, ListEntry]], CommandFailure]:
        """Return the revision of the list and its entries by name."""
        read = self.client.read(self.kind.value)
        if isinstance(read, Err):
            return read
        parsed = parse_list(self.kind, read.ok_value.body.decode())
        if isinstance(parsed, Err):
            message = "the daemon sent a list that cannot be parsed: " + str(parsed.err_value[0])
            return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
        entries = {entry.name: entry for entry in parsed.ok_value}
        return Ok((int(read.ok_value.headers["etag"]), entries))

    def undo(self, revision: int) -> Result[int, CommandFailure]:
        """Revert one revision by a new one.

        :param revision: the revision to revert.
        :returns: the new revision.
        """
        return self._send_change("POST", f"{self.kind.value}/undo?revision={revision}", b"")

    def wait(self, revision: int, seconds: float) -> Result[str, CommandFailure]:
        """Wait until all live hosts have applied a revision.

        :param revision: the revision.
        :param seconds: longest time to wait.
        :returns: the revision of each host as text.
        """
        deadline = time.monotonic() + seconds
        while True:
            read = self.client.read_json("revisions")
            if isinstance(read, Err):
                return read
            hosts = read.ok_value["revisions"]
            if all((host_revision or 0) >= revision for host_revision in hosts.values()):
                return Ok(_format_hosts(hosts, revision))
            if time.monotonic() >= deadline:
                message = f"not in force everywhere yet:\n{_format_hosts(hosts, revision)}"
                return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))
            time.sleep(POLL_INTERVAL_SECONDS)

    def _send_change(
        self, method: str, path: str, body: bytes, **headers: str
    ) -> Result[int, CommandFailure]:
        result = self.client.call(method, path, body, x_author=getpass.getuser(), **headers)
        if isinstance(result, Err):
            return result
        if result.ok_value.status != 200:
            return Err(result.ok_value.describe_failure())
        return Ok(orjson.loads(result.ok_value.body)["detail"]["revision"])


def _format_hosts(hosts: Mapping[str, int | None], revision: int) -> str:
    rows = []
    for host_id, host_revision in hosts.items():
        state = "in force" if (host_revision or 0) >= revision else "not in force"
        text = "no answer" if host_revision is None else f"revision {host_revision}, {state}"
        rows.append(f"{host_id}: {text}")
    return "\n".join(rows)
