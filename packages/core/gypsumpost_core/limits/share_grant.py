"""A share granted by a coordinator."""

import attrs

from gypsumpost_core.limits.share_amounts import ShareAmounts


@attrs.frozen(kw_only=True)
class ShareGrant:
    """The reply to a demand report.

    :param workspace: the workspace.
    :param amounts: the amounts that the daemon may use.
    :param deadline: Unix time in seconds on the receiver's clock at which the share expires. The
        coordinator adds the lifetime to the send time in the report, so that clock differences
        between hosts cannot extend a share.
    """

    workspace: str
    amounts: ShareAmounts
    deadline: float
