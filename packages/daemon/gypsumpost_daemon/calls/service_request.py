"""A caller's request to a plain service."""

import hashlib

import attrs

from gypsumpost_core.routing.endpoint import Endpoint
from gypsumpost_daemon.callers.caller_request import CallerRequest

SERVICES_PREFIX = "/v1/services/"
KEY_HEADER = "idempotency-key"
CALL_ID_HEADER = "x-call-id"
ATTEMPT_HEADER = "x-call-attempt"
FIRST_ATTEMPT = "1"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
DIGEST_CHARACTERS = 40


def digest_parts(*parts: bytes) -> str:
    """Return a hexadecimal digest of a sequence of byte strings.

    Lengths are included, so that different sequences with the same concatenation differ.

    :param parts: the byte strings.
    """
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big") + part)
    return hasher.hexdigest()[:DIGEST_CHARACTERS]


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """A request and the service to which it is addressed.

    :param service: name of the service.
    :param target: path and query at the service.
    :param caller: the caller's request.
    """

    service: str
    target: str
    caller: CallerRequest

    @property
    def key(self) -> str:
        """The idempotency key, empty if the caller sent none."""
        return self.caller.headers.get(KEY_HEADER, "")

    @property
    def is_idempotent(self) -> bool:
        """True if the request may be sent more than once."""
        return self.caller.method in IDEMPOTENT_METHODS and not self.key

    @property
    def is_first_attempt(self) -> bool:
        """True if the caller states that it has never sent this key before."""
        return self.caller.headers.get(ATTEMPT_HEADER, "") == FIRST_ATTEMPT

    @property
    def call_id(self) -> str:
        """Id of the call for the service; the same for all retries under one key."""
        header = self.caller.headers.get(CALL_ID_HEADER, "")
        return header or (self.key_digest if self.key else self.caller.request_id)

    @property
    def key_digest(self) -> str:
        """Digest of workspace and key; part of the claim's key in the store."""
        return digest_parts(self.caller.workspace.encode(), self.key.encode())

    @property
    def request_digest(self) -> str:
        """Digest of method, service, target and body; a key is valid for one such request."""
        names = (self.caller.method, self.service, self.target)
        return digest_parts(*(name.encode() for name in names), self.caller.body)

    def list_headers(self, endpoint: Endpoint) -> list[tuple[bytes, bytes]]:
        """Return the headers of the request to the service.

        :param endpoint: the endpoint that receives the request.
        """
        headers = {
            name: value for name, value in self.caller.headers.items() if name not in NOT_FORWARDED
        }
        headers["host"] = endpoint.address
        headers[CALL_ID_HEADER] = self.call_id
        return [(name.encode(), value.encode("latin-1")) for name, value in headers.items()]

    def list_echoed_headers(self) -> dict[str, str]:
        """Return the headers that are echoed in each response to the caller."""
        echoed = {CALL_ID_HEADER: self.call_id}
        return echoed | {KEY_HEADER: self.key} if self.key else echoed


def read_service_request(request: CallerRequest) -> ServiceRequest | None:
    """Parse the service and the target from the path, ``None`` if it names no service.

    :param request: the caller's request.
    """
    if not request.path.startswith(SERVICES_PREFIX):
        return None
    service, _, path = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    if not service:
        return None
    query = f"?{request.query}" if request.query else ""
    return ServiceRequest(service=service, target=f"/{path}{query}", caller=request)
