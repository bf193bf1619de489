"""An HTTP request to an endpoint."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class EngineRequest:
    """A request with a complete body.

    :param address: ``ip:port`` of the endpoint.
    :param method: HTTP method in upper case.
    :param path: path with the query string.
    :param headers: headers by name, without ``host`` and ``content-length``, which are added.
    :param body: the body, empty for none.
    :param deadline: monotonic time in seconds by which the response headers must have arrived.
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    deadline: float

    def create_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the encoded headers, including ``host`` and the length of a body."""
        headers = [(name.encode("ascii"), value.encode()) for name, value in self.headers.items()]
        headers.append((b"host", self.address.encode()))
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers
