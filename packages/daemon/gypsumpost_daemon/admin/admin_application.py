"""The operators' HTTP interface as an ASGI application."""

import hmac
import re
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

from result import Err, Ok, Result

from gypsumpost_daemon.admin.admin_request import AdminRequest
from gypsumpost_daemon.admin.admin_response import create_error_response
from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.http.asgi_lifespan import complete_lifespan

MAX_BODY_BYTES = 8 * 1024 * 1024

AdminHandler = Callable[..., Awaitable[CallerResponse]]
"""Called with the request and the named groups of the route's pattern as keyword arguments."""


class AdminApplication:
    """Authenticates operators and dispatches their requests to the registered handlers.

    :param key: the operators' bearer key; must not be empty.
    """

    def __init__(self, *, key: str) -> None:
        if not key:
            raise ValueError("the operators' key is empty")
        self._authorization = f"Bearer {key}".encode()
        self._routes: list[tuple[str, re.Pattern[str], AdminHandler]] = []

    def add_route(self, method: str, pattern: str, handler: AdminHandler) -> None:
        """Register a handler for requests whose whole path matches a pattern.

        :param method: HTTP method in upper case.
        :param pattern: regular expression for the path.
        :param handler: answers the request.
        """
        self._routes.append((method, re.compile(pattern), handler))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await complete_lifespan(receive, send)
        elif scope["type"] == "http":
            await _send_response(send, await self._respond(scope, receive))

    async def _respond(self, scope: Any, receive: Any) -> CallerResponse:
        headers = {name.decode("latin-1").lower(): value for name, value in scope["headers"]}
        if not hmac.compare_digest(headers.get("authorization", b""), self._authorization):
            return create_error_response(401, "wrong_key", "The operators' key is wrong.")
        body = await _receive_body(receive)
        if isinstance(body, Err):
            return body.err_value
        request = AdminRequest(
            method=scope["method"],
            path=scope["path"],
            query=dict(parse_qsl(scope["query_string"].decode("latin-1"))),
            headers={name: value.decode("latin-1") for name, value in headers.items()},
            body=body.ok_value,
        )
        return await self.respond(request)

    async def respond(self, request: AdminRequest) -> CallerResponse:
        """Answer an authenticated request.

        :param request: the request.
        """
        known_path = False
        for method, pattern, handler in self._routes:
            if match := pattern.fullmatch(request.path):
                known_path = True
                if method == request.method:
                    return await handler(request, **match.groupdict())
        if known_path:
            return create_error_response(405, "wrong_method", "The method is not supported here.")
        return create_error_response(404, "not_found", f"There is nothing at {request.path}.")


async def _receive_body(receive: Any) -> Result[bytes, CallerResponse]:
    parts, size = [], 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return Err(create_error_response(400, "disconnected", "The request is incomplete."))
        parts.append(event.get("body", b""))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            message = f"The body is longer than {MAX_BODY_BYTES} bytes."
            return Err(create_error_response(413, "too_long", message))
        if not event.get("more_body"):
            return Ok(b"".join(parts))


async def _send_response(send: Any, response: CallerResponse) -> None:
    headers = [(name.encode(), value.encode()) for name, value in response.headers.items()]
    headers.append((b"content-length", str(len(response.body)).encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})
