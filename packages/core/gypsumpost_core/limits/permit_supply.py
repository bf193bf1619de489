"""What permits are granted from."""

from typing import Protocol


class PermitSupply(Protocol):
    """An amount that the requests of all hosts share."""

    def compute_wait(self, level: float, now: float) -> float:
        """Return the seconds until this many permits are available, infinite if that is unknown.

        :param level: number of permits.
        :param now: monotonic time in seconds.
        """
        ...

    def take(self, count: float, now: float) -> None:
        """Use up permits.

        :param count: number of permits.
        :param now: monotonic time in seconds.
        """
        ...
