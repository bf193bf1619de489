"""Interface of requests that a connection to an endpoint can send."""

from typing import Protocol


class EndpointRequest(Protocol):
    """A request with a complete body."""

    @property
    def method(self) -> str:
        """HTTP method in upper case."""
        ...

    @property
    def path(self) -> str:
        """Path with the query string."""
        ...

    @property
    def body(self) -> bytes:
        """The body, empty for none."""
        ...

    def create_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the encoded headers, including ``host`` and the length of a body."""
        ...
