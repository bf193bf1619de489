"""Consecutive failures of calls at an endpoint, and its ejection after them."""

import math

import attrs

EJECTION_FAILURES = 4
"""Consecutive failures that eject an endpoint; where it fails 0.14 of its calls for ordinary
reasons, one call in 2,600 begins such a row."""

FIRST_EJECTION_SECONDS = 0.5
MAX_DOUBLINGS = 2

PASSED_CALLS = 4
"""Calls that go to other endpoints between two test calls, so that test calls stay few where calls
are rare."""


@attrs.define(kw_only=True)
class CallFailures:
    """Decides when an endpoint is ejected, and when a test call shows whether it has recovered.

    :param failures: failures since the last success.
    :param tests: test calls since the ejection.
    :param test_at: monotonic time in seconds before which there is no test call.
    :param passed: calls to other endpoints of the service since the last test call of any of them.
    """

    failures: int = 0
    tests: int = 0
    test_at: float = -math.inf
    passed: int = 0

    @property
    def ejected(self) -> bool:
        """True from too many consecutive failures to the next success."""
        return self.failures >= EJECTION_FAILURES

    def observe_failure(self, now: float) -> None:
        """Record that a call failed.

        :param now: monotonic time in seconds.
        """
        self.failures += 1
        if self.failures == EJECTION_FAILURES:
            self.test_at = now + FIRST_EJECTION_SECONDS

    def observe_success(self) -> bool:
        """Record that a call succeeded.

        :returns: true if this ends an ejection.
        """
        recovered = self.ejected
        self.failures = self.tests = self.passed = 0
        return recovered

    def is_test_due(self, now: float) -> bool:
        """Return true if an ejected endpoint may get a test call.

        :param now: monotonic time in seconds.
        """
        return self.ejected and now >= self.test_at and self.passed >= PASSED_CALLS

    def begin_test(self, now: float) -> None:
        """Record that a test call is sent; the time to the next one doubles up to a limit.

        :param now: monotonic time in seconds.
        """
        self.tests += 1
        self.test_at = now + FIRST_EJECTION_SECONDS * 2 ** min(self.tests, MAX_DOUBLINGS)
