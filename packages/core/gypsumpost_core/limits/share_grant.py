"""A share that a coordinator grants."""

import attrs

from gypsumpost_core.limits.share_amounts import ShareAmounts


@attrs.frozen(kw_only=True)
class ShareGrant:
    """The answer to a demand report.

    :param workspace: the workspace.
    :param amounts: what the daemon may use.
    :param deadline: Unix time in seconds on the receiver's clock at which the share lapses; the
        coordinator adds the time that it grants to the time that the report gives, so that
        differing clocks cannot lengthen a share.
    """

    workspace: str
    amounts: ShareAmounts
    deadline: float
