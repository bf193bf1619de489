"""Digest that identifies a request across retries."""

import hashlib

from gypsumpost_daemon.gateway.forwarded_request import Headers

DIGEST_BYTES = 12
LENGTH_BYTES = 8


def digest_request(method: str, path: str, workspace: str, headers: Headers, body: bytes) -> bytes:
    """Return a digest of all parts of a request that stay the same when it is retried.

    The headers count, since they may name the prompt and change the answer as much as the body.

    :param method: HTTP method.
    :param path: path with the query.
    :param workspace: name of the workspace.
    :param headers: headers that endpoints receive, without those that name the caller's attempt.
    :param body: the body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    names = (part.encode("utf-8", "surrogateescape") for part in (method, path, workspace))
    # The order of headers with different names has no meaning.
    fields = sorted(headers, key=lambda header: header[0])
    for part in (*names, body, *(part for header in fields for part in header)):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big") + part)
    return digest.digest()
