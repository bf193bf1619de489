"""Digest that identifies the request of a generation across retries."""

import hashlib

from gypsumpost_core.generations.generation_record import GenerationRecord

DIGEST_BYTES = 12


def compute_request_digest(record: GenerationRecord) -> str:
    """Return a hexadecimal digest that is the same for all retries of a request.

    :param record: the generation; its workspace, kind and body count.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (record.workspace, record.kind.value):
        digest.update(part.encode() + b"\0")
    digest.update(record.body)
    return digest.hexdigest()
