"""The operators' lists of a deployment on this machine."""

import orjson
import trio
from result import Err

from gypsumpost_cli.admin_client import AdminClient
from gypsumpost_core.lists.workspace_plan import compute_key_digest

ADMIN_KEY = "key-operators"
KEYS = {"laurentides": "key-laurentides", "filers": "key-filers"}
APPLY_TIMEOUT_SECONDS = 15.0
"""Time limit for all daemons to apply the lists; a fleet that is starting needs some of it."""

ALLOWANCES = """
[standard]
models = ["summary"]
services = ["gate"]
requests_per_second = 1000
tokens_per_second = 100000
concurrent_generations = 5000
priority = 10
deadline_seconds = 900
"""


async def apply_lists(address: str, hosts: int) -> None:
    """Give each workspace a plan and wait until all daemons have applied the lists.

    :param address: address of a daemon's administration interface.
    :param hosts: number of daemons.
    """
    plans = "".join(
        f'[{name}]\nplan = "standard"\nkeys = ["{compute_key_digest(key)}"]\n'
        for name, key in KEYS.items()
    )
    client = AdminClient(address=address, key=ADMIN_KEY)
    with trio.fail_after(APPLY_TIMEOUT_SECONDS):
        await _put_list(client, "allowances", ALLOWANCES, 0)
        await _put_list(client, "plans", plans, 1)
        while await _count_applied(client, 2) < hosts:
            await trio.sleep(0.1)


async def _put_list(client: AdminClient, kind: str, text: str, revision: int) -> None:
    def put() -> int:
        reply = client.call("PUT", kind, text.encode(), if_match=str(revision))
        return 0 if isinstance(reply, Err) else reply.ok_value.status

    status = 0
    while status != 200:
        status = await trio.to_thread.run_sync(put)
        if status != 200:
            await trio.sleep(0.2)


async def _count_applied(client: AdminClient, revision: int) -> int:
    reply = await trio.to_thread.run_sync(lambda: client.call("GET", "revisions"))
    if isinstance(reply, Err):
        return 0
    revisions = orjson.loads(reply.ok_value.body)["revisions"]
    return sum(applied is not None and applied >= revision for applied in revisions.values())
