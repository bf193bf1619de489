"""Keys and certificates of a daemon, reloaded when their files change."""

import ssl
from collections.abc import Callable

import trio

from gypsumpost_core.key_ring import KeyRing
from gypsumpost_daemon.credentials.caller_tls import CallerTls
from gypsumpost_daemon.credentials.file_reloader import FileReloader
from gypsumpost_daemon.credentials.shared_key_file import SharedKeyFile
from gypsumpost_daemon.peers.peer_tls import PeerTls
from gypsumpost_daemon.settings import Settings


class Keys:
    """Loads the files named in the settings and reloads them when they change.

    :param settings: checked settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.caller_tls: CallerTls | None = None
        self.peer_tls: PeerTls | None = None
        self._reloaders: list[FileReloader] = []
        shared = SharedKeyFile(path=settings.peer_key_file)
        self.ring: KeyRing = shared.ring
        if settings.peer_key_file:
            self._watch(shared.reload, settings.peer_key_file)
        if settings.tls_cert_file:
            files = (settings.tls_cert_file, settings.tls_key_file)
            self.caller_tls = CallerTls(cert_file=files[0], key_file=files[1])
            self._watch(self.caller_tls.reload, *files)
        if settings.peer_tls_cert_file:
            self.peer_tls = PeerTls(
                cert_file=settings.peer_tls_cert_file,
                key_file=settings.peer_tls_key_file,
                ca_file=settings.peer_tls_ca_file,
            )
            self._watch(
                self.peer_tls.reload,
                settings.peer_tls_cert_file,
                settings.peer_tls_key_file,
                settings.peer_tls_ca_file,
            )

    @property
    def caller_context(self) -> ssl.SSLContext | None:
        """TLS context of the callers' listener, ``None`` for plain TCP."""
        return self.caller_tls.context if self.caller_tls else None

    async def run(self) -> None:
        """Poll the files until cancelled."""
        async with trio.open_nursery() as nursery:
            for reloader in self._reloaders:
                nursery.start_soon(reloader.run)

    def _watch(self, load: Callable[[], None], *paths: str) -> None:
        self._reloaders.append(FileReloader(paths=paths, load=load))
