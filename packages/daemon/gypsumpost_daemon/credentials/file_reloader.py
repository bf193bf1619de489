"""Task that reloads changed keys and certificates."""

from collections.abc import Callable

import attrs
import trio

from gypsumpost_daemon.credentials.file_watch import CHECK_INTERVAL, FileWatch
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="keys")


@attrs.define(kw_only=True)
class FileReloader:
    """Calls a function when files change; if loading fails, the old state remains in use.

    :param paths: the files.
    :param load: loads them; raises ``OSError`` or ``ValueError`` on failure.
    """

    paths: tuple[str, ...]
    load: Callable[[], None]

    async def run(self) -> None:
        """Poll the files until cancelled."""
        watch = FileWatch(paths=self.paths)
        while True:
            await trio.sleep(CHECK_INTERVAL)
            if watch.has_changed():
                self._load()

    def _load(self) -> None:
        try:
            self.load()
        except (OSError, ValueError) as error:
            # ``ssl.SSLError`` is an ``OSError``; none of the messages contains key material.
            LOG.write("changed files not loaded", files=list(self.paths), reason=str(error))
        else:
            LOG.write("loaded changed files", files=list(self.paths))
