"""Tests of the measure of how long a newer configuration is known and not applied."""

from gypsumpost_core.gateway.version_lag import BELIEF_SECONDS, VersionLag


def test_the_lag_counts_from_the_first_naming_until_the_version_is_in_force():
    """Guards against a metric that shows no lag while an older configuration is in force."""
    lag = VersionLag()
    lag.record_named(4, 4, 9.0)
    assert lag.compute(10.0) == 0.0
    lag.record_named(6, 4, 10.0)
    lag.record_named(7, 4, 11.0)
    assert lag.compute(12.0) == 2.0
    assert lag.record_applied(6, 12.5) == 2.5
    assert lag.compute(13.0) == 0.5  # Version 7 is still missing.
    assert lag.record_applied(7, 13.0) == 0.5
    assert lag.compute(20.0) == 0.0


def test_a_host_is_behind_as_long_as_a_peer_names_a_newer_version():
    """Guards against final refusals by an old version, and against waiting for one without end."""
    lag = VersionLag()
    assert not lag.is_behind(9.0)
    lag.record_named(6, 4, 10.0)
    lag.record_named(6, 4, 11.0)
    assert lag.is_behind(11.0 + BELIEF_SECONDS / 2)
    assert not lag.is_behind(11.0 + BELIEF_SECONDS)
    lag.record_named(6, 4, 20.0)
    lag.record_applied(6, 20.1)
    assert not lag.is_behind(20.2)
