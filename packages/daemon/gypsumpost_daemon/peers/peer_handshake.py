"""Mutual authentication at the start of a peer connection."""

import hashlib
import hmac
import secrets

import orjson
import trio
from result import Err, Ok, Result

from gypsumpost_core.key_ring import KeyRing, create_key_ring

NONCE_BYTES = 16
MAX_LINE_BYTES = 1024
HANDSHAKE_SECONDS = 2.0


class PeerHandshake:
    """Proves to each side that the other knows the shared key.

    :param host_id: name of this host.
    :param key: the shared key of the deployment.
    """

    def __init__(self, *, host_id: str, key: bytes | KeyRing) -> None:
        self._host_id = host_id
        self._keys = create_key_ring(key)

    async def connect(self, stream: trio.abc.Stream, expected: str) -> Result[None, str]:
        """Run the connecting side.

        :param stream: the new connection.
        :param expected: the host that the connection is meant for.
        """
        nonce = secrets.token_hex(NONCE_BYTES)
        await stream.send_all(_encode_line(host_id=self._host_id, nonce=nonce))
        hello = await _receive_line(stream)
        if hello is None:
            return Err("the handshake ended early")
        ids = (self._host_id, expected, nonce, hello.get("nonce", ""))
        proofs = [hello.get("mac", ""), hello.get("former_mac", "")]
        key = self._find_key(proofs, "accept", *ids)
        if key is None:
            return Err(f"{expected} did not prove that it knows the shared key")
        await stream.send_all(_encode_line(mac=_sign(key, "connect", *ids)))
        # Waits for the confirmation: frames sent before it could arrive together with the last
        # line and be read as part of it.
        if await _receive_line(stream) is None:
            return Err("the handshake ended early")
        return Ok(None)

    async def accept(self, stream: trio.abc.Stream) -> Result[str, str]:
        """Run the accepting side.

        :param stream: the new connection.
        :returns: the name of the connecting host.
        """
        hello = await _receive_line(stream)
        if hello is None:
            return Err("the handshake ended early")
        nonce = secrets.token_hex(NONCE_BYTES)
        ids = (hello.get("host_id", ""), self._host_id, hello.get("nonce", ""), nonce)
        # During a key change the connecting host may know only one of the two keys.
        names = ("mac", "former_mac")
        macs = [_sign(key, "accept", *ids) for key in self._list_keys()]
        proofs = dict(zip(names, macs, strict=False))
        await stream.send_all(_encode_line(nonce=nonce, **proofs))
        proof = await _receive_line(stream)
        if proof is None:
            return Err("the handshake ended early")
        if self._find_key([proof.get("mac", "")], "connect", *ids) is None:
            return Err("the connecting host did not prove that it knows the shared key")
        await stream.send_all(_encode_line(accepted=self._host_id))
        return Ok(ids[0])

    def _list_keys(self) -> list[bytes]:
        return self._keys.list_accepted_keys(trio.current_time())

    def _find_key(self, macs: list[str], *parts: str) -> bytes | None:
        for key in self._list_keys():
            expected = _sign(key, *parts).encode()
            if any(hmac.compare_digest(mac.encode(), expected) for mac in macs):
                return key
        return None


def _sign(key: bytes, *parts: str) -> str:
    return hmac.new(key, "\n".join(parts).encode(), hashlib.sha256).hexdigest()


def _encode_line(**fields: str) -> bytes:
    return orjson.dumps(fields) + b"\n"


async def _receive_line(stream: trio.abc.Stream) -> dict[str, str] | None:
    # The peer waits for a reply after each line, so no further data can arrive with a line.
    line = b""
    with trio.move_on_after(HANDSHAKE_SECONDS):
        while not line.endswith(b"\n") and len(line) < MAX_LINE_BYTES:
            data = await stream.receive_some(MAX_LINE_BYTES)
            if not data:
                return None
            line += data
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict):
        return None
    return {str(name): str(value) for name, value in fields.items()}
