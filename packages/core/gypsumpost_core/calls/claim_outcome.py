"""Outcome of a non-idempotent call."""

from collections.abc import Mapping

import attrs

from gypsumpost_core.run_state import RunState


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """What a repeat of the call is answered.

    :param run_state: ``RUN`` with the service's answer, ``UNKNOWN`` if the call was sent and no
        answer came.
    :param status: HTTP status of the answer.
    :param headers: headers of the answer by lower-case name.
    :param body: body of the answer.
    """

    run_state: RunState
    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
