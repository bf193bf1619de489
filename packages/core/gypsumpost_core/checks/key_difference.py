"""Differences between the keys of workspaces."""

from collections.abc import Iterable, Mapping

from gypsumpost_core.checks.difference import Difference

DIGEST_CHARACTERS = 8
"""Characters by which messages name a key; the key itself is never shown."""


def index_owners(keys: Mapping[str, Iterable[str]]) -> dict[str, str]:
    """Return the workspace of each key, by its digest.

    :param keys: digests of the keys by workspace.
    """
    return {digest: name for name, digests in keys.items() for digest in digests}


def compare_owners(before: Mapping[str, str], after: Mapping[str, str]) -> list[Difference]:
    """Return the keys that are new, end or belong to another workspace.

    :param before: the workspace of each key in force, by the digest of the key.
    :param after: the same of the new version.
    """
    found = []
    for digest in before.keys() | after.keys():
        old, new = before.get(digest), after.get(digest)
        if old == new:
            continue
        key = f"the key {digest[:DIGEST_CHARACTERS]}…"
        if old is None:
            change, effect = f"{key} is new", "requests with it are served"
        elif new is None:
            change, effect = f"{key} ends", "requests with it get 401"
        else:
            change = f"{key} moves to workspace {new}"
            effect = f"requests with it count for workspace {new}"
        found.append(Difference(subject=f"workspace {old or new}", change=change, effect=effect))
    return found
