"""The last good list on disk, so that a front which starts while the files are broken can serve.

One line of header (name, format, length and SHA-256 of what follows), then MessagePack. Written beside,
synced, renamed into place, and the folder synced: a crash or a full disk leaves the old one whole. A
snapshot that is not what its header says is never used."""

import hashlib
import os
from pathlib import Path

import msgspec

from umberlead.membership.model import Listing, Server
from umberlead.scheduling.interface import NodeState

MAGIC, FORMAT = "umberlead-list", 1
HEAD_MOST, BODY_MOST = 256, 256 << 20


class Damaged(ValueError):
    """What stands there is no snapshot, or not all of one; the text tells why."""


class _Row(msgspec.Struct, array_like=True):
    name: str
    host: str
    port: int
    shard: int
    state: str
    room: str
    weight: float | None
    units: float


class _Body(msgspec.Struct):
    version: int
    digest: str
    files: list[str]
    saved: int  # us of Unix time
    servers: list[_Row]


def dump(listing: Listing, saved: int) -> bytes:
    rows = []
    for s in listing.servers.values():
        host, port = s.address or ("", 0)
        rows.append(_Row(s.name, host, port, s.shard, s.state.value, s.room, s.weight, s.units))
    body = msgspec.msgpack.encode(_Body(listing.version, listing.digest, list(listing.files), saved, rows))
    head = f"{MAGIC} {FORMAT} {len(body)} {hashlib.sha256(body).hexdigest()}\n"
    return head.encode() + body


def load(data: bytes) -> tuple[Listing, int]:
    """The list and when it was saved; `Damaged` if it is anything but a whole snapshot."""
    head, found, body = data.partition(b"\n")
    words = head[:HEAD_MOST].decode("latin-1").split(" ")
    if not found or len(words) != 4 or words[0] != MAGIC:
        raise Damaged("it is no snapshot of a list")
    if words[1] != str(FORMAT):
        raise Damaged(f"its format is {words[1]}; this program reads {FORMAT}")
    if words[2] != str(len(body)):
        raise Damaged(f"it holds {len(body)} bytes of {words[2]}")
    if hashlib.sha256(body).hexdigest() != words[3]:
        raise Damaged("its digest does not match")
    try:
        got: _Body = msgspec.msgpack.decode(body, type=_Body)
        servers = {
            r.name: Server(r.name, (r.host, r.port), r.shard, NodeState(r.state), r.room, r.weight, r.units)
            for r in got.servers
        }
    except (msgspec.MsgspecError, ValueError) as fault:
        raise Damaged(str(fault)) from None
    return Listing(got.version, got.digest, servers, tuple(got.files)), got.saved


def write(path: Path, data: bytes) -> None:
    """OSError leaves what stood there before."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            with memoryview(data) as view:
                at = 0
                while at < len(view):
                    at += os.write(descriptor, view[at:])
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(beside, path)
    except OSError:
        beside.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: Path) -> tuple[Listing, int] | None:
    """None where there is none yet; `Damaged` or OSError where it can't be used."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return load(data)
