"""Recorded outcome of a non-idempotent call."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.run_state import RunState


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """The response to retries of the call by its caller.

    :param run_state: ``RUN`` with the service's response, ``UNKNOWN`` if the call was sent and no
        response was received.
    :param status: HTTP status of the response.
    :param headers: headers of the response by lower-case name.
    :param body: body of the response.
    """

    run_state: RunState
    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
