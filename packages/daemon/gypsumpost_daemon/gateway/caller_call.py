"""A caller's request on a route."""

from functools import cached_property

import attrs

from gypsumpost_core.gateway.route import Route
from gypsumpost_daemon.gateway.forwarded_request import Headers
from gypsumpost_daemon.gateway.request_digest import digest_request


@attrs.frozen(kw_only=True)
class CallerCall:
    """A request that was read whole and may run.

    :param request_id: id of the caller's attempt.
    :param method: HTTP method.
    :param path: path with the query.
    :param headers: headers that are passed on, without those of this host.
    :param body: the body.
    :param route: its route.
    :param service: the service that was drawn for it.
    :param workspace: name of the workspace, empty on a public route.
    :param priority: rank of the request, 0 first.
    :param received_at: process time in seconds.
    :param deadline: process time in seconds at which the caller must have its final answer.
    :param prompt_tokens: tokens of the prompt, 0 if there is none.
    :param output_tokens: most tokens of the output.
    :param last_event_id: last event that the caller has already, empty for none.
    """

    request_id: str
    method: str
    path: str
    headers: Headers
    body: bytes = attrs.field(repr=False)
    route: Route
    service: str
    workspace: str
    priority: int
    received_at: float
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: bytes = b""

    @cached_property
    def fingerprint(self) -> bytes:
        """Digest that is the same when the caller sends the request again."""
        return digest_request(self.method, self.path, self.workspace, self.body)
