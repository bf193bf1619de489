"""An HTTP request to an endpoint."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class EngineRequest:
    """A request with its whole body.

    :param address: ``ip:port`` of the endpoint.
    :param method: HTTP method in upper case.
    :param path: path with the query.
    :param headers: headers by name; length and host are added.
    :param body: the body.
    :param deadline: process time in seconds by which the response must have begun.
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    deadline: float

    def create_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers as they are sent."""
        headers = [(name.encode("ascii"), value.encode()) for name, value in self.headers.items()]
        headers.append((b"host", self.address.encode()))
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers
