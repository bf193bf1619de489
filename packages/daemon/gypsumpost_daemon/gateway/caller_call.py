"""A caller's request after it was matched to a route."""

from functools import cached_property

import attrs

from gypsumpost_core.crashes.crash_suspect import CrashSuspect
from gypsumpost_core.gateway.route import Route
from gypsumpost_daemon.gateway.forwarded_request import Headers
from gypsumpost_daemon.gateway.run_evidence import RunEvidence
from gypsumpost_daemon.rollouts.request_versions import ALL_VERSIONS, RequestVersions


@attrs.frozen(kw_only=True)
class CallerCall:
    """A completely received and authorized request.

    :param request_id: id of the caller's attempt.
    :param method: HTTP method.
    :param path: path with the query.
    :param headers: headers to pass on to endpoints, without those that this host adds.
    :param body: the body.
    :param route: its route.
    :param service: the service chosen for it by weight.
    :param workspace: name of the workspace, empty on a public route.
    :param fingerprint: digest of the request that stays the same when the caller retries it.
    :param priority: priority of the request, 0 is the highest.
    :param received_at: monotonic time in seconds.
    :param deadline: monotonic time in seconds at which the caller must have the final answer.
    :param prompt_tokens: number of prompt tokens, 0 without a prompt.
    :param output_tokens: maximum number of output tokens.
    :param shared_parts: digests of the parts of the prompt that other requests may share.
    :param last_event_id: id of the last event that the caller has received, empty for none.
    :param versions: the versions of endpoints that it may go to.
    :param run: what is known about whether it has run.
    """

    request_id: str
    method: str
    path: str
    headers: Headers
    body: bytes = attrs.field(repr=False)
    route: Route
    service: str
    workspace: str
    fingerprint: bytes
    priority: int
    received_at: float
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_parts: tuple[bytes, ...] = ()
    last_event_id: bytes = b""
    versions: RequestVersions = attrs.field(default=ALL_VERSIONS, eq=False, repr=False)
    run: RunEvidence = attrs.field(factory=RunEvidence, eq=False)

    @cached_property
    def suspect(self) -> CrashSuspect:
        """The request as a possible cause of crashes."""
        return CrashSuspect(fingerprint=self.fingerprint, parts=self.shared_parts)
