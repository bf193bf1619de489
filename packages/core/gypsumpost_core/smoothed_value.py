"""An exponentially weighted mean with its mean deviation."""

import attrs


@attrs.define(kw_only=True)
class SmoothedValue:
    """Mean and mean absolute deviation of a value that changes over time.

    :param weight: weight of a new value once enough values are known.
    :param mean: current mean, before the first value a prior.
    :param deviation: current mean absolute deviation.
    :param count: number of values so far.
    """

    weight: float = 0.1
    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def observe(self, value: float) -> None:
        """Take in one value.

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
