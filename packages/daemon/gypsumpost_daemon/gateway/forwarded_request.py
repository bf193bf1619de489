"""A caller's request as it is sent to an endpoint."""

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen(kw_only=True)
class ForwardedRequest:
    """A request with the headers that this host adds.

    :param method: HTTP method.
    :param path: path with the query, as the caller sent it.
    :param headers: the headers in order, without ``content-length``.
    :param body: the body.
    """

    method: str
    path: str
    headers: Headers
    body: bytes

    def create_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers to send; only GET, HEAD and DELETE may have no ``content-length``."""
        headers = list(self.headers)
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(self.body)))
        return headers
