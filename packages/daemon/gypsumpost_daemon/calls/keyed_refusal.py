"""Run states of refused service calls that carry an idempotency key."""

import attrs

from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.http.http_call import HttpCall

SERVICES_PATH = "/v1/services/"
KEY_HEADER = "idempotency-key"


def describe_keyed_refusal(call: HttpCall, failure: Failure) -> Failure:
    """Return what a caller is told about a call that was refused before its key was looked up.

    An earlier request under the same key may have been run. A caller that is told ``not_run`` would
    call again under another key, and the call would happen twice.

    :param call: the caller's request.
    :param failure: why it is refused.
    """
    keyed = call.scope["path"].startswith(SERVICES_PATH) and call.headers.get(KEY_HEADER)
    return attrs.evolve(failure, run_state=RunState.UNKNOWN) if keyed else failure
