"""Decision to forget a host."""

import attrs


@attrs.frozen(kw_only=True)
class ForgetHost:
    """Remove a dead host that is no longer remembered.

    :param host_id: the host.
    """

    host_id: str
