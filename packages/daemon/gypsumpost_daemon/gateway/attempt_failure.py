"""Why a request got no answer from an endpoint."""

import attrs


@attrs.frozen(kw_only=True)
class AttemptFailure:
    """A send that brought no answer that can be passed on.

    :param reason: a short description.
    :param may_have_run: false only if the endpoint certainly has not run the request.
    :param sent: true if the endpoint may have received any of the request.
    """

    reason: str
    may_have_run: bool
    sent: bool = True
