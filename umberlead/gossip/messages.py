"""Datagrams between fronts: MessagePack under a keyed digest. Whatever comes, `opened` gives a message or
None.

A datagram is one byte of format, four of the key's name, sixteen of HMAC-SHA256 over the rest, and the body.
Keys are lines of hex in a file; the first signs, all are taken: a new one is added below everywhere, then
moved to the top everywhere, then the old one is removed."""

import hashlib
import hmac
from pathlib import Path

import msgspec

FORMAT = 1
HEAD, DIGEST = 5, 16
MOST = 1200  # octets of a datagram: below any usual path's limit
NAME_MOST, ROWS_MOST = 64, 64


class BadKeys(ValueError):
    """The text names file and line."""


class News(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """What one front says of another, or of itself."""

    name: str
    address: str
    life: int  # a member raises it to deny that it is gone
    state: int  # 0 alive, 1 suspect, 2 dead


class Word(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """What the sender itself holds of a room."""

    room: str
    state: int  # 0 well, 1 grey, 2 lost, 3 return


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    kind: int  # 0 ping, 1 answer, 2 ask another to ping
    name: str
    address: str
    session: int  # drawn at the sender's start
    number: int  # of this datagram in its session
    nonce: int  # a ping's own; its answer gives it back
    target: str = ""  # of a request to ping
    news: list[News] = []
    words: list[Word] = []


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Keys:
    """A key's name is the start of its digest: two fronts need not number them alike."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys:
            raise BadKeys("there is no key")
        self.keys = {hashlib.sha256(k).digest()[:4]: k for k in keys}
        self.first = hashlib.sha256(keys[0]).digest()[:4]

    @classmethod
    def read(cls, path: Path) -> "Keys":
        keys = []
        try:
            lines = path.read_text().splitlines()
        except (OSError, UnicodeDecodeError) as fault:
            raise BadKeys(f"{path}: {fault}") from None
        for number, line in enumerate(lines, 1):
            text = line.split("#")[0].strip()
            if not text:
                continue
            try:
                key = bytes.fromhex(text)
            except ValueError:
                raise BadKeys(f"{path}:{number}: is no hex") from None
            if len(key) < 16:
                raise BadKeys(f"{path}:{number}: a key has 16 octets at least, this one {len(key)}")
            keys.append(key)
        if not keys:
            raise BadKeys(f"{path}: there is no key")
        return cls(keys)

    def sealed(self, message: Message) -> bytes:
        """ValueError where it is too long."""
        body = _encoder.encode(message)
        if HEAD + DIGEST + len(body) > MOST:
            raise ValueError("a datagram of more than 1200 octets")
        head = bytes((FORMAT,)) + self.first
        return head + self._digest(self.keys[self.first], head + body) + body

    @staticmethod
    def _digest(key: bytes, data: bytes) -> bytes:
        return hmac.new(key, data, hashlib.sha256).digest()[:DIGEST]

    def opened(self, data: bytes) -> Message | None:
        if not HEAD + DIGEST < len(data) <= MOST or data[0] != FORMAT:
            return None
        key = self.keys.get(bytes(data[1:HEAD]))
        if key is None:
            return None
        head, digest, body = data[:HEAD], data[HEAD : HEAD + DIGEST], data[HEAD + DIGEST :]
        if not hmac.compare_digest(self._digest(key, head + body), digest):
            return None
        try:
            made = _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return None
        return made if sound(made) else None


def sound(of: Message) -> bool:
    """Bounds that the types don't hold."""
    names = [of.name, of.address, of.target, *(w.room for w in of.words)]
    names += [n.name for n in of.news] + [n.address for n in of.news]
    return (
        of.kind in (0, 1, 2)
        and bool(of.name)
        and all(len(n) <= NAME_MOST for n in names)
        and len(of.news) <= ROWS_MOST
        and len(of.words) <= ROWS_MOST
        and all(n.state in (0, 1, 2) and n.name and 0 <= n.life < 1 << 62 for n in of.news)
        and all(w.state in (0, 1, 2, 3) for w in of.words)
        and min(of.session, of.number, of.nonce) >= 0
    )
