"""A snapshot of the last good list on disk, with which a front can start while the list files are invalid.

The file has a header line (name, format, length and SHA-256 of the body) and a MessagePack body. It is
written to a temporary file in the same folder, synced and renamed, and the folder is synced: after a crash
or on a full disk the earlier snapshot is intact. A snapshot that does not match its header is never used.
"""

import hashlib
import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from umberlead.common.regular_file import read_regular_file
from umberlead.membership.errors import MembershipError
from umberlead.membership.model import CheckedList, EndpointSpec
from umberlead.scheduling.events import EndpointStatus

MAGIC = "umberlead-list"
FORMAT_VERSION = 1
MAX_HEADER_BYTES = 256
MAX_SNAPSHOT_BYTES = 256 << 20  # larger than that of the longest list
HEADER_WORDS_COUNT = 4


class SnapshotDamagedError(MembershipError):
    """The data is not a complete snapshot; the message gives the reason."""


class SavedList(NamedTuple):
    """A list from a snapshot, and the Unix time at which it was saved."""

    checked_list: CheckedList
    saved_us: int


class _EndpointRow(msgspec.Struct, array_like=True):
    """An endpoint as stored: an array with the fields in this order."""

    name: str
    host: str
    port: int
    shard: int
    status: str
    zone: str
    weight: float | None
    max_units: float


class _Body(msgspec.Struct):
    """A list as stored: a map whose keys are the `name` arguments."""

    version: int = msgspec.field(name="version")
    digest: str = msgspec.field(name="digest")
    files: list[str] = msgspec.field(name="files")
    saved_us: int = msgspec.field(name="saved")
    endpoints: list[_EndpointRow] = msgspec.field(name="servers")


def encode_snapshot(checked_list: CheckedList, saved_us: int) -> bytes:
    """Encode a list as a snapshot.

    Args:
        checked_list: The list.
        saved_us: The time of saving, in Unix time.
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
    """Decode a snapshot.

    Raises:
        SnapshotDamagedError: The data is not a complete snapshot.
    """
    header, separator, body = data.partition(b"\n")
    words = header[:MAX_HEADER_BYTES].decode("latin-1").split(" ")
    if not separator or len(words) != HEADER_WORDS_COUNT or words[0] != MAGIC:
        raise SnapshotDamagedError("it is not a snapshot of an endpoint list")
    _, format_version, length, digest = words
    if format_version != str(FORMAT_VERSION):
        raise SnapshotDamagedError(f"its format is {format_version}; this program reads {FORMAT_VERSION}")
    if length != str(len(body)):
        raise SnapshotDamagedError(f"its body has {len(body)} bytes; its header gives {length}")
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
    """Replace a file's content with `data`, completely or not at all.

    Raises:
        OSError: The file could not be written; its earlier content is unchanged.
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
    """Read a snapshot; None if there is no file.

    Raises:
        SnapshotDamagedError: The file is not a complete snapshot.
        OSError: The file can't be read.
    """
    try:
        data = read_regular_file(path, MAX_SNAPSHOT_BYTES)
    except FileNotFoundError:
        return None
    return decode_snapshot(data)
