"""Interface of a request that a connection to an endpoint can send."""

from typing import Protocol


class EndpointRequest(Protocol):
    """A request with its whole body."""

    @property
    def method(self) -> str:
        """HTTP method in upper case."""
        ...

    @property
    def path(self) -> str:
        """Path with the query."""
        ...

    @property
    def body(self) -> bytes:
        """The body."""
        ...

    def create_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers as they are sent."""
        ...
