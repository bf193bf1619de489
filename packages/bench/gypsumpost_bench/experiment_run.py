"""Result of one run of an experiment."""

import attrs

from gypsumpost_bench.experiment_row import ExperimentRow


@attrs.frozen(kw_only=True)
class ExperimentRun:
    """The rows of an experiment, or the error that it ended with.

    :param name: name of the experiment.
    :param rows: its figures, empty after an error.
    :param seconds: duration of the run.
    :param error: type and text of the error, empty if the run succeeded.
    """

    name: str
    rows: list[ExperimentRow]
    seconds: float
    error: str = ""
