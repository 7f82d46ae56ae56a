"""Datagrams between fronts: MessagePack under a keyed digest. Whatever comes, `opened` gives a message or
None.

A datagram is one byte of format, four of the key's name, sixteen of HMAC-SHA256 over the rest, and the body.
Keys are lines of hex in a file; the first signs, all are taken: a new one is added below everywhere, then
moved to the top everywhere, then the old one is removed."""

import hashlib
import hmac
from pathlib import Path

import msgspec

FORMAT_VERSION = 1
HEADER_BYTES, DIGEST_BYTES = 5, 16
MAX_DATAGRAM_BYTES = 1200  # octets of a datagram: below any usual path's limit
MAX_NAME_BYTES, MAX_ROWS_COUNT = 64, 64


class GossipKeysError(ValueError):
    """The text names file and line."""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """What one front says of another, or of itself."""

    name: str
    address: str
    incarnation: int  # a member raises it to deny that it is gone
    state: int  # 0 alive, 1 suspect, 2 dead


class Observation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """What the sender itself holds of a room."""

    zone: str
    state: int  # 0 well, 1 grey, 2 lost, 3 return


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    kind: int  # 0 ping, 1 answer, 2 ask another to ping
    name: str
    address: str
    session: int  # drawn at the sender's start
    sequence: int  # of this datagram in its session
    nonce: int  # a ping's own; its answer gives it back
    target: str = ""  # of a request to ping
    updates: list[MemberUpdate] = []
    observations: list[Observation] = []


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[GossipMessage] = msgspec.msgpack.Decoder(GossipMessage)


class GossipKeys:
    """A key's name is the start of its digest: two fronts need not number them alike."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys:
            raise GossipKeysError("there is no key")
        self.keys = {hashlib.sha256(key).digest()[:4]: key for key in keys}
        self.first = hashlib.sha256(keys[0]).digest()[:4]

    @classmethod
    def read(cls, path: Path) -> "GossipKeys":
        keys = []
        try:
            lines = path.read_text().splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise GossipKeysError(f"{path}: {error}") from None
        for number, line in enumerate(lines, 1):
            text = line.split("#")[0].strip()
            if not text:
                continue
            try:
                key = bytes.fromhex(text)
            except ValueError:
                raise GossipKeysError(f"{path}:{number}: is no hex") from None
            if len(key) < 16:
                raise GossipKeysError(f"{path}:{number}: a key has 16 octets at least, this one {len(key)}")
            keys.append(key)
        if not keys:
            raise GossipKeysError(f"{path}: there is no key")
        return cls(keys)

    def seal(self, message: GossipMessage) -> bytes:
        """ValueError where it is too long."""
        body = _encoder.encode(message)
        if HEADER_BYTES + DIGEST_BYTES + len(body) > MAX_DATAGRAM_BYTES:
            raise ValueError("a datagram of more than 1200 octets")
        header = bytes((FORMAT_VERSION,)) + self.first
        return header + self._digest(self.keys[self.first], header + body) + body

    @staticmethod
    def _digest(key: bytes, data: bytes) -> bytes:
        return hmac.new(key, data, hashlib.sha256).digest()[:DIGEST_BYTES]

    def open(self, data: bytes) -> GossipMessage | None:
        if not HEADER_BYTES + DIGEST_BYTES < len(data) <= MAX_DATAGRAM_BYTES or data[0] != FORMAT_VERSION:
            return None
        key = self.keys.get(bytes(data[1:HEADER_BYTES]))
        if key is None:
            return None
        header, digest, body = (
            data[:HEADER_BYTES],
            data[HEADER_BYTES : HEADER_BYTES + DIGEST_BYTES],
            data[HEADER_BYTES + DIGEST_BYTES :],
        )
        if not hmac.compare_digest(self._digest(key, header + body), digest):
            return None
        try:
            message = _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return None
        return message if is_within_bounds(message) else None


def is_within_bounds(message: GossipMessage) -> bool:
    """Bounds that the types don't hold."""
    names = [
        message.name,
        message.address,
        message.target,
        *(observation.zone for observation in message.observations),
    ]
    names += [item.name for item in message.updates] + [item.address for item in message.updates]
    return (
        message.kind in (0, 1, 2)
        and bool(message.name)
        and all(len(item) <= MAX_NAME_BYTES for item in names)
        and len(message.updates) <= MAX_ROWS_COUNT
        and len(message.observations) <= MAX_ROWS_COUNT
        and all(
            item.state in (0, 1, 2) and item.name and 0 <= item.incarnation < 1 << 62
            for item in message.updates
        )
        and all(observation.state in (0, 1, 2, 3) for observation in message.observations)
        and min(message.session, message.sequence, message.nonce) >= 0
    )
