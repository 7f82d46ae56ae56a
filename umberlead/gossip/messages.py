"""Gossip datagrams: MessagePack messages, authenticated with HMAC-SHA256.

A datagram has 1 byte of format version, 4 bytes of key id, the first 16 bytes of the HMAC over all other
bytes, and the body. The keys are lines of hexadecimal digits in a file: datagrams are signed with the first
key and accepted with any. To rotate keys, append the new key on all fronts, then move it to the top on all of
them, then remove the old one.
"""

import hashlib
import hmac
from enum import IntEnum
from pathlib import Path

import msgspec

from umberlead.common.errors import UmberleadError

FORMAT_VERSION = 1  # a datagram's first byte
HEADER_BYTES = 5
KEY_ID_BYTES = 4
DIGEST_BYTES = 16
MIN_KEY_BYTES = 16
MAX_DATAGRAM_BYTES = 1200  # below the MTU of usual network paths
MAX_NAME_BYTES = 64
MAX_LIST_LENGTH = 64
INCARNATION_LIMIT = 1 << 62
ZONE_STATE_COUNT = 4


class MemberState(IntEnum):
    """A member's state, as a number in datagrams; within one incarnation the higher number prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MessageKind(IntEnum):
    """The kind of a message, as a number in datagrams."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # a request to ping another member


class GossipKeysError(UmberleadError, ValueError):
    """The key file can't be used; the message names the file and the line."""


class DatagramTooLongError(UmberleadError, ValueError):
    """A message does not fit into a datagram."""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """A front's update about a member, which may be itself.

    Attributes:
        name: The member's name.
        address: The member's `host:port`.
        incarnation: The member's incarnation, which it increments to refute that it is suspect or dead.
        state: The number of a `MemberState`.
    """

    name: str
    address: str
    incarnation: int
    state: int


class Observation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """The state of a zone as the sender itself observes it.

    Attributes:
        zone: The zone's name.
        state: 0 healthy, 1 degraded, 2 down, 3 recovering.
    """

    zone: str
    state: int


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """The body of a datagram.

    Attributes:
        kind: The number of a `MessageKind`.
        name: The sender's name.
        address: The sender's `host:port`.
        session: A random number that identifies the sender's process.
        sequence: The datagram's sequence number in that session.
        nonce: A random number that the sender of a ping draws; the ack repeats it.
        target: The member to ping, in a PING_REQ.
        updates: The sender's updates about members.
        observations: The zone states that the sender observes.
    """

    kind: int
    name: str
    address: str
    session: int
    sequence: int
    nonce: int
    target: str = ""
    updates: list[MemberUpdate] = []
    observations: list[Observation] = []


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[GossipMessage] = msgspec.msgpack.Decoder(GossipMessage)


def _key_id(key: bytes) -> bytes:
    """Return the key id, the start of the key's hash: it is independent of the order in a key file."""
    return hashlib.sha256(key).digest()[:KEY_ID_BYTES]


def _parse_key(text: str, location: str) -> bytes:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise GossipKeysError(f"{location}: the key is not hexadecimal") from None
    if len(key) < MIN_KEY_BYTES:
        raise GossipKeysError(f"{location}: a key needs at least 16 bytes, this one has {len(key)}")
    return key


class GossipKeys:
    """The keys of a front: the first one signs, all are accepted."""

    def __init__(self, keys: list[bytes]) -> None:
        """Create it from the keys in the order of the file.

        Raises:
            GossipKeysError: The list is empty.
        """
        if not keys:
            raise GossipKeysError("there is no gossip key")
        self.keys = {_key_id(key): key for key in keys}
        self.signing_key_id = _key_id(keys[0])

    @classmethod
    def read(cls, path: Path) -> "GossipKeys":
        """Read a key file, which has one key per line in hexadecimal; `#` begins a comment.

        Raises:
            GossipKeysError: The file can't be read, has an invalid key, or has no key.
        """
        try:
            lines = path.read_text().splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise GossipKeysError(f"{path}: {error}") from None
        texts = [line.split("#")[0].strip() for line in lines]
        keys = [_parse_key(text, f"{path}:{number}") for number, text in enumerate(texts, 1) if text]
        if not keys:
            raise GossipKeysError(f"{path}: the file has no key")
        return cls(keys)

    def seal(self, message: GossipMessage) -> bytes:
        """Return a message as a signed datagram.

        Raises:
            DatagramTooLongError: The datagram would be longer than `MAX_DATAGRAM_BYTES`.
        """
        body = _encoder.encode(message)
        if HEADER_BYTES + DIGEST_BYTES + len(body) > MAX_DATAGRAM_BYTES:
            raise DatagramTooLongError("the datagram is longer than 1200 bytes")
        header = bytes((FORMAT_VERSION,)) + self.signing_key_id
        return header + self._digest(self.keys[self.signing_key_id], header + body) + body

    @staticmethod
    def _digest(key: bytes, data: bytes) -> bytes:
        return hmac.new(key, data, hashlib.sha256).digest()[:DIGEST_BYTES]

    def open(self, data: bytes) -> GossipMessage | None:
        """Return the message of a datagram; None if it is malformed or not signed with one of the keys."""
        body_start = HEADER_BYTES + DIGEST_BYTES
        if not body_start < len(data) <= MAX_DATAGRAM_BYTES or data[0] != FORMAT_VERSION:
            return None
        header = data[:HEADER_BYTES]
        digest = data[HEADER_BYTES:body_start]
        body = data[body_start:]
        key = self.keys.get(bytes(header[1:]))
        if key is None or not hmac.compare_digest(self._digest(key, header + body), digest):
            return None
        try:
            message = _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return None
        return message if is_within_bounds(message) else None


def is_within_bounds(message: GossipMessage) -> bool:
    """Return whether the values of a decoded message are in the ranges that its types don't express."""
    names = [message.name, message.address, message.target]
    names += [observation.zone for observation in message.observations]
    names += [update.name for update in message.updates]
    names += [update.address for update in message.updates]
    return (
        0 <= message.kind < len(MessageKind)
        and bool(message.name)
        and all(len(name) <= MAX_NAME_BYTES for name in names)
        and len(message.updates) <= MAX_LIST_LENGTH
        and len(message.observations) <= MAX_LIST_LENGTH
        and all(_is_update_within_bounds(update) for update in message.updates)
        and all(0 <= observation.state < ZONE_STATE_COUNT for observation in message.observations)
        and min(message.session, message.sequence, message.nonce) >= 0
    )


def _is_update_within_bounds(update: MemberUpdate) -> bool:
    has_valid_state = 0 <= update.state < len(MemberState) and bool(update.name)
    return has_valid_state and 0 <= update.incarnation < INCARNATION_LIMIT
