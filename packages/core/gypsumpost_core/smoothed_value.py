"""Exponentially weighted mean and mean deviation."""

import attrs


@attrs.define(kw_only=True)
class SmoothedValue:
    """Mean and mean absolute deviation of a value that changes over time.

    :param weight: lower bound of the weight of a new value; the n-th value weighs at least 1/n.
    :param mean: current mean; a prior until the first value is observed.
    :param deviation: current mean absolute deviation.
    :param count: number of values so far.
    """

    weight: float = 0.1
    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def observe(self, value: float) -> None:
        """Update the mean and the deviation with a value.

        :param value: the observed value.
        """
        self.count += 1
        if self.count == 1:
            self.mean = value
            self.deviation = value / 2
            return
        weight = max(self.weight, 1 / self.count)
        error = value - self.mean
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
