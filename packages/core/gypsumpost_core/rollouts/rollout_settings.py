"""Bounds of roll-outs."""

import attrs


@attrs.frozen(kw_only=True)
class RolloutSettings:
    """Bounds of roll-outs; without them a deployment has no roll-outs.

    :param expose_share: part of a service's requests that may go to a version without a verdict,
        above 0.
    :param expose_slack: requests that may go to it beyond that part, over all hosts.
    :param rollback_seconds: time within which a bad version must get no more requests.
    """

    expose_share: float = attrs.field(validator=attrs.validators.gt(0))
    expose_slack: int = attrs.field(validator=attrs.validators.ge(0))
    rollback_seconds: float = attrs.field(validator=attrs.validators.gt(0))
