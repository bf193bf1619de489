"""An error response from the server itself."""

import attrs
import orjson

from gypsumpost_core.run_state import RunState

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
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float = 0.0

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


def refuse_malformed(reason: str, status: int = 400) -> HttpRefusal:
    """Return the refusal of a request that is not valid HTTP.

    :param reason: what is wrong.
    :param status: the status code, for example 431 for headers that are too long.
    """
    return HttpRefusal(status=status, code="malformed_request", message=reason)


def refuse_long_body(limit: int) -> HttpRefusal:
    """Return the refusal of a body that is too long.

    :param limit: the longest accepted body in bytes.
    """
    message = f"The body is longer than {limit} bytes."
    return HttpRefusal(status=413, code="body_too_long", message=message)


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
