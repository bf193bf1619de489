"""The listener of the administration interface."""

import hypercorn.trio
import trio
from hypercorn.config import Config

from gypsumpost_daemon.admin.admin_application import AdminApplication


async def serve_admin(
    application: AdminApplication,
    address: str,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the administration interface until cancelled.

    :param application: the application.
    :param address: ``ip:port`` of the listener.
    :param task_status: receives the bound addresses when the listener is open.
    """
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    # Operators' requests are short; a cancelled server waits no longer for open connections.
    config.graceful_timeout = 1.0
    await hypercorn.trio.serve(application, config, mode="asgi", task_status=task_status)
