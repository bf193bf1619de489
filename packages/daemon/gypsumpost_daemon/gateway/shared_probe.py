"""A probe of an endpoint whose outcome several tasks wait for."""

import attrs
import trio

from gypsumpost_daemon.engines.endpoint_probe import ProbeResult


@attrs.define(kw_only=True, eq=False)
class SharedProbe:
    """The probe of one task.

    :param ended: set when the probe has ended.
    :param outcome: its outcome, ``None`` if its task was cancelled.
    """

    ended: trio.Event = attrs.field(factory=trio.Event)
    outcome: ProbeResult | None = None
