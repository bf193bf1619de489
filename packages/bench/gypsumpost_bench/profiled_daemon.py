"""Runs a daemon under the profiler: ``gypsumpost_bench.profiled_daemon.main()``.

The statistics go to the directory ``GYPSUMPOST_BENCH_PROFILE`` when the daemon is stopped by
SIGTERM; use ``--stop-deadline 0`` while streams are open.
"""

import cProfile
import os

from gypsumpost_daemon.main import main as run_daemon

DIRECTORY_VARIABLE = "GYPSUMPOST_BENCH_PROFILE"


def main() -> None:
    """Run the daemon and write ``<process id>.prof`` when it stops."""
    profile = cProfile.Profile()
    try:
        profile.runcall(run_daemon)
    finally:
        profile.dump_stats(os.path.join(os.environ[DIRECTORY_VARIABLE], f"{os.getpid()}.prof"))
