"""Count of requests and answers of one version."""

import attrs


@attrs.frozen(kw_only=True)
class VersionCount:
    """Requests and answers of one version on one route in one time window.

    All fields only grow while their source runs.

    :param arrivals: requests sent to the version.
    :param answers: answers, also failed ones.
    :param failures: answers that are failures.
    :param shared: failures of requests that failed at another version, too.
    :param timed: answers whose time could be compared.
    :param slow: timed answers that took several times as long as is usual at the other versions.
    :param elapsed_ms: sum of the times to the begin of the served answers, in milliseconds.
    """

    arrivals: int = 0
    answers: int = 0
    failures: int = 0
    shared: int = 0
    timed: int = 0
    slow: int = 0
    elapsed_ms: int = 0

    def add(self, other: "VersionCount") -> "VersionCount":
        """Return the sum with a count of other requests.

        :param other: count from another source.
        """
        return VersionCount(
            arrivals=self.arrivals + other.arrivals,
            answers=self.answers + other.answers,
            failures=self.failures + other.failures,
            shared=self.shared + other.shared,
            timed=self.timed + other.timed,
            slow=self.slow + other.slow,
            elapsed_ms=self.elapsed_ms + other.elapsed_ms,
        )

    def merge(self, other: "VersionCount") -> "VersionCount":
        """Return the later state of two reports from the same source.

        :param other: earlier or later count of the same requests.
        """
        return VersionCount(
            arrivals=max(self.arrivals, other.arrivals),
            answers=max(self.answers, other.answers),
            failures=max(self.failures, other.failures),
            shared=max(self.shared, other.shared),
            timed=max(self.timed, other.timed),
            slow=max(self.slow, other.slow),
            elapsed_ms=max(self.elapsed_ms, other.elapsed_ms),
        )
