"""The last good list on disk, so that a front which starts while the files are broken can serve.

One line of header (name, format, length and SHA-256 of what follows), then MessagePack. Written beside,
synced, renamed into place, and the folder synced: a crash or a full disk leaves the old one whole. A
snapshot that is not what its header says is never used."""

import hashlib
import os
from pathlib import Path

import msgspec

from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.scheduling.events import EndpointStatus

MAGIC, FORMAT_VERSION = "umberlead-list", 1
MAX_HEADER_BYTES, MAX_BODY_BYTES = 256, 256 << 20


class SnapshotDamagedError(ValueError):
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


def encode_snapshot(checked_list: CheckedList, saved_us: int) -> bytes:
    rows = []
    for s in checked_list.endpoints.values():
        host, port = s.address or ("", 0)
        rows.append(_Row(s.name, host, port, s.shard, s.state.value, s.room, s.weight, s.units))
    body = msgspec.msgpack.encode(
        _Body(checked_list.version, checked_list.digest, list(checked_list.files), saved_us, rows)
    )
    head = f"{MAGIC} {FORMAT_VERSION} {len(body)} {hashlib.sha256(body).hexdigest()}\n"
    return head.encode() + body


def decode_snapshot(data: bytes) -> tuple[CheckedList, int]:
    """The list and when it was saved; `Damaged` if it is anything but a whole snapshot."""
    head, found, body = data.partition(b"\n")
    words = head[:MAX_HEADER_BYTES].decode("latin-1").split(" ")
    if not found or len(words) != 4 or words[0] != MAGIC:
        raise SnapshotDamagedError("it is no snapshot of a list")
    if words[1] != str(FORMAT_VERSION):
        raise SnapshotDamagedError(f"its format is {words[1]}; this program reads {FORMAT_VERSION}")
    if words[2] != str(len(body)):
        raise SnapshotDamagedError(f"it holds {len(body)} bytes of {words[2]}")
    if hashlib.sha256(body).hexdigest() != words[3]:
        raise SnapshotDamagedError("its digest does not match")
    try:
        got: _Body = msgspec.msgpack.decode(body, type=_Body)
        servers = {
            r.name: EndpointSpec(
                r.name, (r.host, r.port), r.shard, EndpointStatus(r.state), r.room, r.weight, r.units
            )
            for r in got.servers
        }
    except (msgspec.MsgspecError, ValueError) as fault:
        raise SnapshotDamagedError(str(fault)) from None
    return CheckedList(got.version, got.digest, servers, tuple(got.files)), got.saved


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


def read_snapshot(path: Path) -> tuple[CheckedList, int] | None:
    """None where there is none yet; `Damaged` or OSError where it can't be used."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return decode_snapshot(data)
