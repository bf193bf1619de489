"""Registry of HTTP servers for the caller interface."""

from collections.abc import Coroutine
from typing import Any

from gypsumpost_core.registry import Registry
from gypsumpost_daemon.http import h11_server, hypercorn_server

HTTP_SERVERS: Registry[Coroutine[Any, Any, None]] = Registry(behaviour="http-server")
"""Each entry is a function ``async def serve(*, application, address, max_body, tls, guard,
max_connections, task_status)`` that reports a :class:`RunningServer` through ``task_status``."""

HTTP_SERVERS.register("h11")(h11_server.serve)
HTTP_SERVERS.register("hypercorn")(hypercorn_server.serve)
