"""Run state of refused service calls with an idempotency key."""

import attrs

from gypsumpost_core.failure import Failure
from gypsumpost_core.run_state import RunState
from gypsumpost_daemon.http.http_call import HttpCall

SERVICES_PATH = "/v1/services/"
KEY_HEADER = "idempotency-key"


def describe_keyed_refusal(call: HttpCall, failure: Failure) -> Failure:
    """Return the failure for a call that was refused before its key was looked up.

    With a key, the run state becomes ``unknown``: an earlier request under the same key may have
    run. On ``not_run``, the caller would retry under another key, and the call could run twice.

    :param call: the caller's request.
    :param failure: the reason for the refusal.
    """
    keyed = call.scope["path"].startswith(SERVICES_PATH) and call.headers.get(KEY_HEADER)
    return attrs.evolve(failure, run_state=RunState.UNKNOWN) if keyed else failure
