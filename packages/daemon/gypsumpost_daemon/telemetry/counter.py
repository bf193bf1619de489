"""A counter of events."""

import attrs


@attrs.define(kw_only=True)
class Counter:
    """Counts events, separately for each combination of label values.

    :param name: name of the metric.
    :param help: what it counts.
    :param labels: names of its labels.
    """

    name: str
    help: str
    labels: tuple[str, ...] = ()
    values: dict[tuple[str, ...], int] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        if not self.labels:
            self.values[()] = 0

    def add(self, *label_values: str, amount: int = 1) -> None:
        """Count events.

        :param label_values: one value for each label.
        :param amount: how many events.
        """
        self.values[label_values] = self.values.get(label_values, 0) + amount
