"""The last good list on disk, so that a front that starts while the files are broken can serve.

The file is one line of header (name, format, length and SHA-256 of what follows) and MessagePack. It is
written beside its place, synced, renamed into place, and the folder synced: a crash or a full disk leaves
the earlier one whole. A snapshot that is not what its header says is never used.
"""

import hashlib
import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from umberlead.membership.errors import MembershipError
from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.scheduling.events import EndpointStatus

MAGIC = "umberlead-list"
FORMAT_VERSION = 1
MAX_HEADER_BYTES = 256
HEADER_WORDS_COUNT = 4


class SnapshotDamagedError(MembershipError):
    """The file is no snapshot, or not all of one; the message says why."""


class SavedList(NamedTuple):
    """A list from a snapshot, and when it was saved, in Unix time."""

    checked_list: CheckedList
    saved_us: int


class _EndpointRow(msgspec.Struct, array_like=True):
    """An endpoint as stored: an array in the order of these fields."""

    name: str
    host: str
    port: int
    shard: int
    status: str
    zone: str
    weight: float | None
    max_units: float


class _Body(msgspec.Struct):
    """A list as stored: a map with the names given here."""

    version: int = msgspec.field(name="version")
    digest: str = msgspec.field(name="digest")
    files: list[str] = msgspec.field(name="files")
    saved_us: int = msgspec.field(name="saved")
    endpoints: list[_EndpointRow] = msgspec.field(name="servers")


def encode_snapshot(checked_list: CheckedList, saved_us: int) -> bytes:
    """Return a list as the bytes of a snapshot.

    Args:
        checked_list: The list.
        saved_us: The time, in Unix time.
    """
    body = msgspec.msgpack.encode(
        _Body(
            version=checked_list.version,
            digest=checked_list.digest,
            files=list(checked_list.files),
            saved_us=saved_us,
            endpoints=[_to_row(endpoint) for endpoint in checked_list.endpoints.values()],
        )
    )
    header = f"{MAGIC} {FORMAT_VERSION} {len(body)} {hashlib.sha256(body).hexdigest()}\n"
    return header.encode() + body


def _to_row(endpoint: EndpointSpec) -> _EndpointRow:
    host, port = endpoint.address or ("", 0)
    return _EndpointRow(
        endpoint.name,
        host,
        port,
        endpoint.shard,
        endpoint.status.value,
        endpoint.zone,
        endpoint.weight,
        endpoint.max_units,
    )


def _from_row(row: _EndpointRow) -> EndpointSpec:
    return EndpointSpec(
        name=row.name,
        address=(row.host, row.port),
        shard=row.shard,
        status=EndpointStatus(row.status),
        zone=row.zone,
        weight=row.weight,
        max_units=row.max_units,
    )


def decode_snapshot(data: bytes) -> SavedList:
    """Return the list of a snapshot's bytes.

    Raises:
        SnapshotDamagedError: The bytes are anything but a whole snapshot.
    """
    header, found, body = data.partition(b"\n")
    words = header[:MAX_HEADER_BYTES].decode("latin-1").split(" ")
    if not found or len(words) != HEADER_WORDS_COUNT or words[0] != MAGIC:
        raise SnapshotDamagedError("it is no snapshot of a list")
    _, format_version, length, digest = words
    if format_version != str(FORMAT_VERSION):
        raise SnapshotDamagedError(f"its format is {format_version}; this program reads {FORMAT_VERSION}")
    if length != str(len(body)):
        raise SnapshotDamagedError(f"it holds {len(body)} bytes of {length}")
    if hashlib.sha256(body).hexdigest() != digest:
        raise SnapshotDamagedError("its digest does not match")
    try:
        stored: _Body = msgspec.msgpack.decode(body, type=_Body)
        endpoints = {row.name: _from_row(row) for row in stored.endpoints}
    except (msgspec.MsgspecError, ValueError) as error:
        raise SnapshotDamagedError(str(error)) from None
    checked_list = CheckedList(stored.version, stored.digest, endpoints, tuple(stored.files))
    return SavedList(checked_list, stored.saved_us)


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file so that it is there with all of `data`, or as it was.

    Raises:
        OSError: It could not be written; what was there before is untouched.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        _write_synced(temporary, data)
        os.rename(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _write_synced(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        with memoryview(data) as view:
            written_bytes = 0
            while written_bytes < len(view):
                written_bytes += os.write(descriptor, view[written_bytes:])
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_snapshot(path: Path) -> SavedList | None:
    """Return the list of a snapshot; None where there is no file.

    Raises:
        SnapshotDamagedError: The file is no whole snapshot.
        OSError: The file can't be read.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return decode_snapshot(data)
