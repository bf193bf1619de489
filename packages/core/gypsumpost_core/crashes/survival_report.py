"""Report of a request that an endpoint has run without crashing."""

import attrs

from gypsumpost_core.crashes.crash_key import CrashKey


@attrs.frozen(kw_only=True)
class SurvivalReport:
    """Evidence against a possible cause of crashes.

    :param key: the possible cause.
    :param count: number of recent requests with it that did not crash their endpoint.
    :param age_seconds: time since the last of them; hosts have no clock in common.
    """

    key: CrashKey
    count: float
    age_seconds: float
