"""Decision to remove a host."""

import attrs


@attrs.frozen(kw_only=True)
class ForgetHost:
    """Remove a dead host whose retention time has passed.

    :param host_id: the host.
    """

    host_id: str
