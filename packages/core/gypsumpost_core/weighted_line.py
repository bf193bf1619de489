"""Linear regression with exponentially decaying weights."""

import attrs

SLOPE_DAMPING = 1.0
"""Added to the variance of x, so that a constant x gives slope 0 and no division by zero."""


@attrs.define(kw_only=True)
class WeightedLine:
    """Least-squares line in which the weight of older observations decays with each new one.

    :param decay_factor: factor applied to the weight of all older observations at each new one.
    """

    decay_factor: float = 0.998
    _weight: float = 0.0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0

    def observe(self, x: float, y: float) -> None:
        """Add an observation."""
        self._weight = self._weight * self.decay_factor + 1
        self._x = self._x * self.decay_factor + x
        self._y = self._y * self.decay_factor + y
        self._xx = self._xx * self.decay_factor + x * x
        self._xy = self._xy * self.decay_factor + x * y

    def predict(self, x: float) -> float:
        """Return the predicted y, 0 without observations.

        The prediction does not decrease with x and is at least a quarter of the mean of y, so it
        stays positive for positive observations.
        """
        if not self._weight:
            return 0.0
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        covariance = self._xy / self._weight - mean_x * mean_y
        slope = max(0.0, covariance / (variance + SLOPE_DAMPING))
        return max(mean_y / 4, mean_y + slope * (x - mean_x))
