"""Interface of responses whose body is still being received."""

from collections.abc import Mapping
from typing import Protocol


class EngineResponse(Protocol):
    """A response of an endpoint whose headers were received."""

    @property
    def status(self) -> int:
        """HTTP status code."""

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers by lower-case name."""

    async def receive(self) -> bytes:
        """Wait for the next part of the body; empty at the regular end of the body.

        :raises OSError: if the connection is lost or the body is malformed.
        """

    async def aclose(self) -> None:
        """Release the connection; must be called once the response is no longer used."""
