"""A straight line fitted to observations that lose weight over time."""

import attrs

SLOPE_DAMPING = 1.0
"""Added to the variance of x, so that a constant x gives slope 0 and no division by zero."""


@attrs.define(kw_only=True)
class WeightedLine:
    """A least squares line whose old observations lose weight with each new one.

    :param retention: factor on the weight of old observations for each new one.
    """

    retention: float = 0.998
    _weight: float = 0.0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0

    def observe(self, x: float, y: float) -> None:
        """Take in one observation."""
        self._weight = self._weight * self.retention + 1
        self._x = self._x * self.retention + x
        self._y = self._y * self.retention + y
        self._xx = self._xx * self.retention + x * x
        self._xy = self._xy * self.retention + x * y

    def predict(self, x: float) -> float:
        """Return the line's value at x; it neither falls with x nor goes below zero."""
        if not self._weight:
            return 0.0
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        covariance = self._xy / self._weight - mean_x * mean_y
        slope = max(0.0, covariance / (variance + SLOPE_DAMPING))
        return max(mean_y / 4, mean_y + slope * (x - mean_x))
