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
    """

    arrivals: int = 0
    answers: int = 0
    failures: int = 0
    shared: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, other: "VersionCount") -> "VersionCount":
        """Return the sum with a count of other requests.

        :param other: count from another source.
        """
        return VersionCount(
            **{name: getattr(self, name) + getattr(other, name) for name in COUNT_NAMES}
        )

    def merge(self, other: "VersionCount") -> "VersionCount":
        """Return the later state of two reports from the same source.

        :param other: earlier or later count of the same requests.
        """
        return VersionCount(
            **{name: max(getattr(self, name), getattr(other, name)) for name in COUNT_NAMES}
        )


COUNT_NAMES = tuple(field.name for field in attrs.fields(VersionCount))
