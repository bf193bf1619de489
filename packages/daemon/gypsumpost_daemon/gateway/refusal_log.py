"""Logs and counts the requests that this host itself refuses."""

from gypsumpost_daemon.gateway.forward_context import ForwardContext
from gypsumpost_daemon.telemetry.log import Log

LOG = Log(prefix="gateway")


def log_refusal(context: ForwardContext, request_id: bytes, status: int, reason: str) -> None:
    """Count a refusal and write what it rests on.

    :param context: state shared by the forwarders.
    :param request_id: id of the request, empty if it is not known.
    :param status: status code of the answer.
    :param reason: one sentence for the caller.
    """
    context.metrics.count_refusal(status)
    write_refusal(context, request_id, status, reason)


def write_refusal(context: ForwardContext, request_id: bytes, status: int, reason: str) -> None:
    """Write what a refusal rests on.

    :param context: state shared by the forwarders.
    :param request_id: id of the request, empty if it is not known.
    :param status: status code of the answer.
    :param reason: one sentence for the caller.
    """
    freshness = context.directory.freshness
    LOG.write(
        "refused",
        request_id=request_id.decode("latin-1"),
        status=status,
        reason=reason,
        version=context.directory.version,
        behind_seconds=round(freshness.compute_lag(), 3),
        confirmed_seconds=round(freshness.compute_confirmation_age(), 3),
        loop_lag_seconds=round(context.loop_lag.seconds, 3),
    )
