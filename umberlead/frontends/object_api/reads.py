"""GET and HEAD of objects: conditional requests, byte ranges, and responses streamed block by block."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from email.utils import formatdate
from typing import Any

from umberlead.configuration import ObjectApiConfig, ObjectOperation
from umberlead.frontends.object_api.blocks import BlockStore
from umberlead.frontends.object_api.errors import S3Error
from umberlead.frontends.object_api.manifest import Manifest
from umberlead.frontends.object_api.ranges import ByteRange, parse_ranges
from umberlead.frontends.object_api.requests import ObjectRequest
from umberlead.frontends.object_api.stall_watch import StallWatch
from umberlead.net.client_connections import ClientGroup
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import RequestLifecycle

# The least time of a window's attempts of a response that has begun: servers may be slow without a stall.
MIN_WINDOW_TIMEOUT_US = 500_000
CLIENT_READ_TIMEOUT_US = 60_000_000  # for data written to a client that it has not read
DEFAULT_CONTENT_TYPE = "application/octet-stream"
BOUNDARY_TEMPLATE = "umberlead-{}"

Segment = bytes | ByteRange  # literal bytes, or a range of the object


class MemoryReservation:
    """A context manager that reserves memory within the client group's limit."""

    def __init__(self, client_group: ClientGroup, size_bytes: int) -> None:
        """Reserve the memory.

        Args:
            client_group: the connections of the listener's clients, whose limit applies.
            size_bytes: the size of the reservation.

        Raises:
            S3Error: the limit would be exceeded.
        """
        if client_group.buffered_bytes + size_bytes > client_group.buffer_limit_bytes:
            raise S3Error("SlowDown", "too much is being read at present")
        self.client_group = client_group
        self.size_bytes = size_bytes
        client_group.buffered_bytes += size_bytes

    def __enter__(self) -> None:
        """Do nothing: the constructor has reserved the memory."""

    def __exit__(self, *_: object) -> None:
        """Release the memory."""
        self.client_group.buffered_bytes -= self.size_bytes


@dataclass(slots=True)
class ReadResponse:
    """A response to GET or HEAD.

    Attributes:
        status: the HTTP status.
        headers: the header lines.
        segments: the body, in order.
    """

    status: int
    headers: list[bytes]
    segments: list[Segment]

    def length_bytes(self) -> int:
        """Return the length of the body."""
        return sum(
            len(segment) if isinstance(segment, bytes) else segment[1] - segment[0]
            for segment in self.segments
        )


def is_modified(request: ObjectRequest, manifest: Manifest, last_modified: str) -> bool:
    """Evaluate the request's conditions by RFC 9110, section 13.2.2.

    Dates are not parsed: a date matches if its text equals the Last-Modified that the API sends.

    Returns:
        True if the object is to be sent, False if the response is 304 Not Modified.

    Raises:
        S3Error: a precondition failed.
    """

    def matches_etag(header: str) -> bool:
        """Return whether a list of entity tags contains the object's, or is `*`."""
        etags = [etag.strip().removeprefix("W/").strip('"') for etag in header.split(",")]
        return "*" in etags or manifest.etag in etags

    if_match = request.header(b"if-match")
    unmodified_since = request.header(b"if-unmodified-since")
    if if_match:
        if not matches_etag(if_match):
            raise S3Error("PreconditionFailed", "If-Match")
    elif unmodified_since and unmodified_since != last_modified:
        raise S3Error("PreconditionFailed", "If-Unmodified-Since")
    if_none_match = request.header(b"if-none-match")
    if if_none_match:
        return not matches_etag(if_none_match)
    return request.header(b"if-modified-since") != last_modified


def _object_headers(manifest: Manifest, last_modified: str) -> list[bytes]:
    metadata = [(name, value) for name, value in manifest.headers.items() if name != "content-type"]
    return [
        f'ETag: "{manifest.etag}"'.encode(),
        f"Last-Modified: {last_modified}".encode(),
        b"Accept-Ranges: bytes",
        *(f"{name}: {value}".encode("latin-1") for name, value in metadata),
    ]


def _requested_ranges(
    request: ObjectRequest, manifest: Manifest, last_modified: str
) -> list[ByteRange] | None:
    """Return the ranges to send; None for the complete object."""
    if_range = request.header(b"if-range")
    if request.http_request.method != b"GET":
        return None
    if if_range and if_range not in (f'"{manifest.etag}"', last_modified):
        return None
    ranges = parse_ranges(request.header(b"range"), manifest.size_bytes)
    if ranges == []:
        unsatisfied = f"Content-Range: bytes */{manifest.size_bytes}".encode()
        raise S3Error("InvalidRange", "no range lies within the object", 0, unsatisfied)
    return ranges


def _multipart_segments(
    ranges: list[ByteRange], boundary: str, content_type: str, size_bytes: int
) -> list[Segment]:
    segments: list[Segment] = []
    for begin, end in ranges:
        content_range = f"Content-Range: bytes {begin}-{end - 1}/{size_bytes}"
        part_headers = f"--{boundary}\r\nContent-Type: {content_type}\r\n{content_range}\r\n\r\n"
        segments += [part_headers.encode("latin-1"), (begin, end), b"\r\n"]
    return [*segments, f"--{boundary}--\r\n".encode()]


def _read_response(
    request: ObjectRequest, manifest: Manifest, headers: list[bytes], ranges: list[ByteRange] | None
) -> ReadResponse:
    content_type = manifest.headers.get("content-type", DEFAULT_CONTENT_TYPE)
    type_header = f"Content-Type: {content_type}".encode("latin-1")
    if ranges is None:
        return ReadResponse(200, [*headers, type_header], [(0, manifest.size_bytes)])
    if len(ranges) == 1:
        begin, end = ranges[0]
        range_header = f"Content-Range: bytes {begin}-{end - 1}/{manifest.size_bytes}".encode()
        return ReadResponse(206, [*headers, type_header, range_header], [(begin, end)])
    boundary = BOUNDARY_TEMPLATE.format(request.request_id)
    type_header = f"Content-Type: multipart/byteranges; boundary={boundary}".encode()
    segments = _multipart_segments(ranges, boundary, content_type, manifest.size_bytes)
    return ReadResponse(206, [*headers, type_header], segments)


class ObjectReader:
    """Serves GET and HEAD."""

    def __init__(
        self,
        config: ObjectApiConfig,
        lifecycle: RequestLifecycle,
        blocks: BlockStore,
        client_group: ClientGroup,
        log: Any,
    ) -> None:
        """Create a reader.

        Args:
            config: the object API's configuration.
            lifecycle: provides the clock, timers and counters.
            blocks: reads manifests and blocks.
            client_group: the connections of the listener's clients, whose memory limit applies.
            log: a structlog logger.
        """
        self.config = config
        self.lifecycle = lifecycle
        self.blocks = blocks
        self.client_group = client_group
        self.log = log

    async def get(self, request: ObjectRequest) -> None:
        """Answer a GET or HEAD of an object.

        Raises:
            S3Error: the object does not exist, a precondition failed, or the object could not be read.
        """
        manifest = await self.blocks.read_manifest(request)
        if manifest is None:
            raise S3Error("NoSuchKey", "no such object")
        last_modified = formatdate(manifest.modified_seconds, usegmt=True)
        headers = _object_headers(manifest, last_modified)
        if not is_modified(request, manifest, last_modified):
            request.conn.send_response(304, headers, b"")
            return
        ranges = _requested_ranges(request, manifest, last_modified)
        response = _read_response(request, manifest, headers, ranges)
        if request.http_request.method == b"HEAD":
            request.conn.send_response(200, response.headers, b"", response.length_bytes())
            return
        await self._send(request, manifest, response)

    async def _send(self, request: ObjectRequest, manifest: Manifest, response: ReadResponse) -> None:
        """Send a response with a body.

        Up to `buffer_bytes` are read before the response begins, so that a failure until then is answered
        with an error response. The remainder is streamed in windows of `max_parallel_blocks` blocks; if one
        fails or is not read in time, the connection is aborted before the end of the body.
        """
        conn = request.conn
        config = self.config
        length_bytes = response.length_bytes()
        operation = config.bulk if length_bytes > config.bulk_threshold_bytes else config.read
        window_bytes = config.max_parallel_blocks * config.block_bytes
        reserved_bytes = min(length_bytes, config.buffer_bytes)
        reserved_bytes += min(length_bytes + config.block_bytes, window_bytes)
        with MemoryReservation(self.client_group, reserved_bytes):
            windows = self._read_windows(request, operation, manifest, response.segments)
            first_windows: list[bytes] = []
            first_bytes = 0
            while first_bytes < min(length_bytes, config.buffer_bytes):
                first_windows.append(await anext(windows))
                first_bytes += len(first_windows[-1])
            if first_bytes >= length_bytes:
                conn.send_response(response.status, response.headers, b"".join(first_windows))
                return
            request.response_has_begun = True
            request.set_timeout(operation.timeout_us)
            response_start = conn.begin_response(response.status, response.headers, length_bytes)
            conn.transport.writelines(response_start + first_windows)
            first_windows.clear()
            await self._send_watched(request, operation, windows)

    async def _send_watched(
        self, request: ObjectRequest, operation: ObjectOperation, windows: AsyncIterator[bytes]
    ) -> None:
        """Stream the remainder of a response that has begun; abort it if it fails or stalls."""
        loop = asyncio.get_running_loop()
        max_pause_us = self.lifecycle.classes[operation.class_name].timeout_us
        try:
            async with asyncio.timeout(None) as scope:
                with StallWatch(request, self.lifecycle, max_pause_us, lambda: scope.reschedule(loop.time())):
                    await self._send_windows(request, windows)
        except S3Error as error:
            self._abort(request, error.message)
        except TimeoutError:
            self.lifecycle.counters.add("objects_reads_stalled")
            self._abort(request, "its chunk servers have stalled")

    def _abort(self, request: ObjectRequest, reason: str) -> None:
        self.lifecycle.counters.add("objects_reads_broken_off")
        self.log.warning("object_response_aborted", error=reason, request_id=request.request_id)
        request.conn.transport.abort()

    async def _send_windows(self, request: ObjectRequest, windows: AsyncIterator[bytes]) -> None:
        conn = request.conn
        async for window in windows:
            if not await self._wait_writable(conn):
                return
            request.last_progress_us = self.lifecycle.clock()
            conn.transport.write(window)
        conn.finish_response()

    async def _wait_writable(self, conn: ServerConnection) -> bool:
        """Wait until the client has read enough; return False if it disconnected or reads too slowly."""
        timer = self.lifecycle.wheel.call_after(CLIENT_READ_TIMEOUT_US, conn.transport.abort)
        try:
            return await conn.wait_writable()
        finally:
            timer.cancel()

    def _window_deadline_us(self, request: ObjectRequest) -> int:
        """Return until when the chunk servers must have begun to send a window that is read from now on.

        Before the response begins, the window must be complete by then, which is the request's deadline.
        After that, a window begun past the deadline has the request's time anew, and blocks whose response
        has begun are awaited until `StallWatch` ends it.
        """
        if not request.response_has_begun:
            return request.deadline_us
        now_us = self.lifecycle.clock()
        min_deadline_us = now_us + MIN_WINDOW_TIMEOUT_US
        if now_us < request.deadline_us:
            return max(request.deadline_us, min_deadline_us)
        return max(now_us + request.timeout_us, min_deadline_us)

    async def _read_windows(
        self, request: ObjectRequest, operation: ObjectOperation, manifest: Manifest, segments: list[Segment]
    ) -> AsyncIterator[bytes]:
        """Yield the body in order, reading up to `max_parallel_blocks` blocks at a time."""
        for segment in segments:
            if isinstance(segment, bytes):
                yield segment
                continue
            block_ranges = list(manifest.block_ranges(*segment))
            for first in range(0, len(block_ranges), self.config.max_parallel_blocks):
                deadline_us = self._window_deadline_us(request)
                window = block_ranges[first : first + self.config.max_parallel_blocks]
                reads = [
                    self.blocks.read_range(request, operation, block_range, deadline_us)
                    for block_range in window
                ]
                yield b"".join(await asyncio.gather(*reads))
