"""An error response from the server itself."""

from collections.abc import Awaitable, Callable, Sequence

import attrs
import orjson

from gypsumpost_core.run_state import RunState

LONG_HEAD_STATUS = 431
OVERLOAD_RETRY_SECONDS = 0.2
"""The load balancer may send the next connection to a host with room."""


@attrs.frozen(kw_only=True)
class HttpRefusal(Exception):
    """Rejects a request with an error response from the server itself.

    :param status: HTTP status code.
    :param code: machine-readable code.
    :param message: one sentence for a human reader.
    :param run_state: what is known about the execution of the request.
    :param retry_after: seconds after which the caller may retry, 0 for no ``retry-after``.
    :param limit: the limit in bytes that the request exceeds, ``None`` if it exceeds none.
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float = 0.0
    limit: int | None = None

    def encode_body(self) -> bytes:
        """Return the OpenAI error object."""
        error = {"message": self.message, "type": "invalid_request_error", "code": self.code}
        return orjson.dumps({"error": error | {"run_state": self.run_state.value}})

    def create_headers(self, body: bytes) -> list[tuple[bytes, bytes]]:
        """Return the headers of the response.

        :param body: the encoded body.
        """
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        if self.retry_after:
            headers.append((b"retry-after", b"%.2f" % self.retry_after))
        return headers


RefusalReview = Callable[[HttpRefusal, Sequence[tuple[bytes, bytes]]], Awaitable[HttpRefusal]]
"""Returns the refusal to send in place of one that was found, given the headers that are known."""


async def keep_refusal(refusal: HttpRefusal, headers: Sequence[tuple[bytes, bytes]]) -> HttpRefusal:
    """Return a refusal as it is; a :data:`RefusalReview`."""
    return refusal


def refuse_malformed(reason: str, status: int = 400) -> HttpRefusal:
    """Return the refusal of a request that is not valid HTTP.

    :param reason: what is wrong.
    :param status: the status code.
    """
    return HttpRefusal(status=status, code="malformed_request", message=reason)


def refuse_long_head(reason: str, limit: int) -> HttpRefusal:
    """Return the refusal of a request line and headers that are too long.

    :param reason: what is wrong.
    :param limit: the longest accepted head in bytes.
    """
    return HttpRefusal(
        status=LONG_HEAD_STATUS, code="malformed_request", message=reason, limit=limit
    )


def refuse_long_body(limit: int) -> HttpRefusal:
    """Return the refusal of a body that is too long.

    :param limit: the longest accepted body in bytes.
    """
    message = f"The body is longer than {limit} bytes."
    return HttpRefusal(status=413, code="body_too_long", message=message, limit=limit)


def refuse_overloaded(message: str) -> HttpRefusal:
    """Return the refusal of a request that this host has no room for.

    :param message: what there is no room for.
    """
    return HttpRefusal(
        status=503, code="overloaded", message=message, retry_after=OVERLOAD_RETRY_SECONDS
    )


def refuse_slow_body(seconds: float) -> HttpRefusal:
    """Return the refusal of a body that arrives too slowly.

    :param seconds: the time within which more of it should have arrived.
    """
    message = f"Too little of the body arrived within {seconds:g} seconds."
    return HttpRefusal(status=408, code="body_too_slow", message=message)
