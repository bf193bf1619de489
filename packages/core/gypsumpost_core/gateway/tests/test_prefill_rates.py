"""Tests of the measured and reported prefill rates."""

import pytest

from gypsumpost_core.gateway.prefill_rates import (
    DEFAULT_RATE,
    KEEP_SECONDS,
    MAX_RATE,
    MIN_RATE,
    REPORT_SECONDS,
    PrefillRates,
)


def test_a_rate_is_learned_from_another_host():
    """Guards against hosts that each have to learn the speed of every engine."""
    measuring, other = PrefillRates(), PrefillRates()
    assert other.get("e1", 5.0) == DEFAULT_RATE
    measuring.measure("e1", 8000, 1.0, now=5.0)
    other.add_reports(measuring.list_measured(5.1), 5.1, own_domain=True)
    assert other.get("e1", 5.1) == 8000
    assert other.list_domain(5.2) == {"e1": 8000}
    assert other.list_measured(5.2) == {}


def test_reports_of_other_domains_are_not_passed_on():
    """Guards against reports that circulate between domains for ever."""
    rates = PrefillRates()
    rates.add_reports({"e1": 8000}, 1.0, own_domain=False)
    assert rates.get("e1", 1.1) == 8000
    assert rates.list_domain(1.1) == {}


def test_a_repeated_report_counts_once():
    """Guards against one slow measurement that outweighs all others, as it is sent many times."""
    rates = PrefillRates()
    rates.measure("e1", 8000, 1.0, now=0.0)
    for _ in range(20):
        rates.add_reports({"e1": 3000}, 1.0, own_domain=True)
    assert rates.get("e1", 1.0) == 7000


def test_a_low_measurement_weighs_less_than_a_high_one():
    """Guards against taking an engine for slow because it read another host's prompt first."""
    rates = PrefillRates()
    rates.measure("e1", 4000, 1.0, now=0.0)
    rates.measure("e1", 8000, 1.0, now=1.0)
    assert rates.get("e1", 2.0) == 6000
    rates.measure("e1", 1000, 1.0, now=2.0)
    assert rates.get("e1", 2.0) == 5000


def test_a_rate_is_reported_for_a_short_time():
    """Guards against beacons that grow with the number of engines ever used."""
    rates = PrefillRates()
    rates.measure("e1", 4000, 1.0, now=0.0)
    assert rates.list_measured(REPORT_SECONDS - 0.1)
    assert not rates.list_measured(REPORT_SECONDS + 0.1)
    assert rates.get("e1", 2.0) == 4000


@pytest.mark.parametrize(("tokens", "seconds"), [(0, 0.5), (1, 30.0), (2, 0.5), (999, 2.0)])
def test_a_short_prompt_measures_nothing(tokens, seconds):
    """Guards against an engine that is never chosen again because its first prompt was short."""
    rates = PrefillRates()
    rates.measure("e1", tokens, seconds, now=0.0)
    assert rates.get("e1", 0.0) == DEFAULT_RATE and not rates.list_measured(0.0)


@pytest.mark.parametrize("rate", [0, 1, 10, 10**12])
def test_a_rate_is_bounded(rate):
    """Guards against a division by a rate of zero that a peer has rounded down."""
    rates = PrefillRates()
    rates.add_reports({"e1": rate}, 0.0, own_domain=True)
    assert rates.get("e1", 0.0) == max(MIN_RATE, min(MAX_RATE, rate))
    assert all(MIN_RATE <= listed <= MAX_RATE for listed in rates.list_domain(0.0).values())


def test_an_engine_that_is_not_measured_for_long_is_tried_again():
    """Guards against a bad belief that nothing corrects, as no host chooses the engine."""
    rates = PrefillRates()
    rates.measure("e1", 1000, 25.0, now=0.0)
    assert rates.get("e1", KEEP_SECONDS) == MIN_RATE
    assert MIN_RATE < rates.get("e1", KEEP_SECONDS + 15.0) < DEFAULT_RATE
    assert rates.get("e1", 90.0) == rates.get("e1", 1e9) == DEFAULT_RATE
    rates.measure("e1", 8000, 1.0, now=90.0)
    assert rates.get("e1", 90.0) == (DEFAULT_RATE + 8000) / 2
