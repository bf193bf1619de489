"""One HTTP request and its response, for the stand-ins."""

from typing import Any
from urllib.parse import parse_qs

import attrs
import orjson

from gypsumpost_bench.stand_in_http import read_body, read_headers, send_json


@attrs.define(kw_only=True)
class Exchange:
    """Reads an ASGI request and writes its response.

    :param scope: ASGI connection scope.
    :param receive: ASGI receive callable.
    :param send: ASGI send callable.
    """

    scope: dict[str, Any]
    receive: Any
    send: Any

    @property
    def method(self) -> str:
        """HTTP method."""
        return str(self.scope["method"])

    @property
    def path(self) -> str:
        """Path without the query."""
        return str(self.scope["path"])

    def read_header(self, name: str) -> str:
        """Return a header, empty if it is missing.

        :param name: lower-case name.
        """
        return read_headers(self.scope).get(name, "")

    def read_query(self, name: str, default: str) -> str:
        """Return a query parameter.

        :param name: name of the parameter.
        :param default: value if it is missing.
        """
        return parse_qs(self.scope["query_string"].decode()).get(name, [default])[0]

    async def read_json(self) -> Any:
        """Return the decoded body, an empty dictionary for an empty body."""
        body = await read_body(self.receive)
        return orjson.loads(body) if body else {}

    async def reply(self, status: int, value: Any) -> None:
        """Send a complete JSON response.

        :param status: HTTP status code.
        :param value: value to encode.
        """
        await send_json(self.send, status, value)

    async def start(self, status: int, content_type: str) -> None:
        """Send the status and headers of a response.

        :param status: HTTP status code.
        :param content_type: media type of the body.
        """
        headers = [(b"content-type", content_type.encode())]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def write(self, body: bytes, more: bool = True) -> None:
        """Send a chunk of the body.

        :param body: bytes to send.
        :param more: false for the last chunk.
        """
        await self.send({"type": "http.response.body", "body": body, "more_body": more})
