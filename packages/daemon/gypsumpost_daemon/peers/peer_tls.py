"""TLS between daemons."""

import ssl

import attrs
import trio

from gypsumpost_daemon.credentials.caller_tls import refuse_password


@attrs.define(kw_only=True)
class PeerTls:
    """TLS contexts with which each side verifies the other's certificate.

    Certificates need not contain the name of the host, which the handshake on top of TLS verifies.

    :param cert_file: certificate chain of this host, PEM.
    :param key_file: its private key, PEM.
    :param ca_file: CA certificates that sign the hosts' certificates, PEM.
    """

    cert_file: str
    key_file: str
    ca_file: str
    _server: ssl.SSLContext = attrs.field(init=False)
    _client: ssl.SSLContext = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reload()

    def reload(self) -> None:
        """Use the current content of the files for new connections.

        :raises OSError: if the files cannot be loaded; the old content remains in use.
        """
        # Creates new contexts, because CA certificates cannot be removed from a context.
        server = self._create_context(ssl.PROTOCOL_TLS_SERVER)
        client = self._create_context(ssl.PROTOCOL_TLS_CLIENT)
        self._server, self._client = server, client

    def wrap_accepted(self, stream: trio.abc.Stream) -> trio.SSLStream:
        """Return the accepting side's TLS stream.

        :param stream: the new connection.
        """
        return trio.SSLStream(stream, self._server, server_side=True)

    def wrap_connected(self, stream: trio.abc.Stream) -> trio.SSLStream:
        """Return the connecting side's TLS stream.

        :param stream: the new connection.
        """
        return trio.SSLStream(stream, self._client)

    def _create_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.ca_file)
        context.load_cert_chain(self.cert_file, self.key_file, password=refuse_password)
        return context
