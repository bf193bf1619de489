"""Log lines about causes of crashes."""

from gypsumpost_core.crashes.blame import Blame
from gypsumpost_core.crashes.crash_key import CrashKey
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="crash")


def describe_key(key: CrashKey) -> str:
    """Return the kind and the digest of a cause, for the log.

    :param key: the cause.
    """
    return f"{key.kind.value} {key.digest.hex()}"


def log_blame(message: str, blame: Blame, now: float) -> None:
    """Write a cause with the evidence for and against it, and its age.

    :param message: what has changed.
    :param blame: the cause.
    :param now: monotonic time in seconds.
    """
    LOG.write(
        message,
        cause=describe_key(blame.key),
        crashes=blame.crashes,
        explained=blame.explained,
        requests=blame.requests,
        survivals=round(blame.survivals, 1),
        first_seconds_ago=round(now - blame.first_at, 3),
        last_seconds_ago=round(now - blame.last_at, 3),
    )
