"""TLS of the callers' listener."""

import ssl

import attrs


@attrs.define(kw_only=True)
class CallerTls:
    """TLS context of the callers' listener.

    :param cert_file: certificate chain, PEM.
    :param key_file: its private key, PEM.
    """

    cert_file: str
    key_file: str
    context: ssl.SSLContext = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.context = self._create_context()

    def reload(self) -> None:
        """Reload the files into the context in use.

        :raises OSError: if the files cannot be loaded; the old certificate remains in use.
        """
        # Loads the pair into a new context first: a failure after the certificate is loaded would
        # leave the context in use with a mismatched pair.
        self._create_context()
        self.context.load_cert_chain(self.cert_file, self.key_file, password=refuse_password)

    def _create_context(self) -> ssl.SSLContext:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.set_alpn_protocols(["http/1.1"])
        context.load_cert_chain(self.cert_file, self.key_file, password=refuse_password)
        return context


def refuse_password() -> str:
    """Raise an error for an encrypted key; OpenSSL would otherwise prompt and block."""
    raise ValueError("the private key is encrypted")
