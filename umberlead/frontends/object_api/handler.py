"""The object API: S3's path style and terms over HTTP, unsigned and meant for loopback.

An object is a manifest and blocks, each one chunk server request through the engine. All of an object's
stand on the shard that its key hashes to, so that any front finds them. Blocks are written once under names
never used before; the manifest is written last, and makes the object appear whole or not at all."""

import asyncio
import base64
import hashlib
import json
import math
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from email.utils import formatdate
from typing import Any, TypeVar
from urllib.parse import parse_qs, quote, unquote_to_bytes

from umberlead.config import ObjectApiConfig, ObjectOperation
from umberlead.frontends.object_api import ranges
from umberlead.frontends.object_api import s3_messages as s3
from umberlead.frontends.object_api.s3_messages import S3Error
from umberlead.frontends.object_api.uploads import (
    MultipartUpload,
    StoreState,
    UploadPart,
    UploadRegistry,
    uncertain_part_error,
)
from umberlead.net.client_connections import ClientGroup
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, AnswerKind, IncomingRequest, InFlightRequest, Reply
from umberlead.resource_limits import MAX_BODY_BYTES

MAX_KEY_BYTES = 1024  # bytes
MAX_METADATA_BYTES = 2048  # bytes of a client's own x-amz-meta- headers
CLIENT_READ_TIMEOUT_US = 60_000_000  # us a client may take over what was written to it
READ_SERVED_STATUS = frozenset((200, 404))  # a chunk server answers 404 for a block it does not hold
IGNORED_PARAMETERS = {"x-id"}  # SDKs name the operation there
CONDITIONAL_HEADERS = frozenset((b"if-match", b"if-none-match", b"if-modified-since", b"if-unmodified-since"))
BOUNDARY_TEMPLATE = "umberlead-{}"

T = TypeVar("T")
BlockRange = tuple[
    str, int, int, int
]  # block, first byte and the one after the last within it, its whole size


def hashed_name(*words: str) -> str:
    """16 hex digits, as blocks and volumes are named."""
    return hashlib.blake2b("\0".join(words).encode(), digest_size=8).hexdigest()


def set_result_if_pending(future: asyncio.Future[T], value: T) -> None:
    """Unless whoever waited has left."""
    if not future.done():
        future.set_result(value)


@dataclass(slots=True)
class Manifest:
    bucket: str
    key: str
    size: int
    etag: str
    modified: int  # Unix seconds
    block: int
    parts: list[tuple[str, int]]  # nonce and size
    headers: dict[str, str] = field(default_factory=dict)
    upload: str = ""

    def to_bytes(self) -> bytes:
        return json.dumps({"v": 1} | {n: getattr(self, n) for n in self.__slots__}).encode()

    @classmethod
    def from_bytes(cls, body: bytes) -> "Manifest | None":
        """None stands for a deleted object."""
        got = json.loads(body)
        if got.pop("v") != 1:
            raise ValueError("unknown version")
        if got.get("deleted"):
            return None
        got["parts"] = [(str(nonce), int(size)) for nonce, size in got["parts"]]
        return cls(**got)

    def block_ranges(self, begin: int, end: int) -> Iterator[BlockRange]:
        """The blocks that hold the bytes from `begin` up to `end`."""
        at = 0
        for nonce, size in self.parts:
            if at < end and at + size > begin:
                for k in range(max(begin - at, 0) // self.block, -(-min(end - at, size) // self.block)):
                    base = at + k * self.block
                    whole = min(self.block, at + size - base)
                    yield hashed_name(nonce, str(k)), max(begin - base, 0), min(end - base, whole), whole
            at += size


@dataclass(slots=True)
class ObjectRequest:
    """One client request on its way."""

    conn: ServerConnection
    message: HttpRequest
    request_id: str
    bucket: str
    key: str
    query: dict[str, str]
    plan: str = ""
    deadline_us: int = 0
    open_block_requests: set[InFlightRequest] = field(
        default_factory=set
    )  # of blocks that are asked for or written now
    client_has_left: bool = False  # its client did

    def header(self, name: bytes) -> str:
        return self.message.headers.get(name, b"").decode("latin-1").strip()


class MemoryReservation:
    """Memory taken from the listener's share while a block of code runs."""

    def __init__(self, client_group: ClientGroup, size_bytes: int, retry_after_us: int) -> None:
        if client_group.buffered_bytes + size_bytes > client_group.buffer_limit_bytes:
            raise S3Error("SlowDown", "too much is being read at present", retry_after_us)
        self.client_group, self.size_bytes = client_group, size_bytes
        client_group.buffered_bytes += size_bytes

    def __enter__(self) -> None:
        pass

    def __exit__(self, *_: object) -> None:
        self.client_group.buffered_bytes -= self.size_bytes


class ObjectApi:
    sends_date = True
    singleton_headers = frozenset((b"range", b"content-md5", b"x-budget", b"if-range", b"x-amz-copy-source"))
    allows_slow_bodies = True

    def __init__(
        self,
        config: ObjectApiConfig,
        lifecycle: RequestLifecycle,
        uploads: UploadRegistry,
        client_group: ClientGroup,
        retry_after_us: int,
        log: Any,
    ) -> None:
        self.config, self.lifecycle, self.uploads, self.client_group = (
            config,
            lifecycle,
            uploads,
            client_group,
        )
        self.retry_after_us, self.log = retry_after_us, log
        self.max_body_bytes = config.max_part_bytes
        self.request_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.writes_by_task: dict[Any, ObjectRequest] = {}  # by task: what must not be cut off in the middle

    # Handler

    def handle_request(self, conn: ServerConnection, message: HttpRequest) -> None:
        if message.target == b"/healthz":
            conn.send_response(200, (), b"ok\n")
            return
        self.request_count += 1
        self.lifecycle.counters.add("objects_requests")
        task = asyncio.get_running_loop().create_task(
            self._serve(conn, message, f"{self.request_count:016x}")
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        conn.handler_context = task

    def client_disconnected(self, conn: ServerConnection) -> None:
        """A read ends with its client. Of a write nothing more is begun; what is out runs on, so that the
        ledger knows how it ended."""
        task, conn.handler_context = conn.handler_context, None
        call = self.writes_by_task.get(task)
        if call is not None:
            call.client_has_left = True
            for ticket in list(call.open_block_requests):
                self.lifecycle.abandon(ticket)
        elif task is not None:
            task.cancel()

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        code = {400: "InvalidRequest", 408: "RequestTimeout", 413: "EntityTooLarge", 503: "SlowDown"}
        fault = S3Error(code.get(status, "RequestHeaderSectionTooLarge"), reason)
        self._reply_error(conn, conn.partial_request or HttpRequest(), fault, "")

    async def _serve(self, conn: ServerConnection, message: HttpRequest, request: str) -> None:
        conn.response_status = conn.response_length = 0
        try:
            call = self._parse_request(conn, message, request)
            if message.method not in (b"GET", b"HEAD"):
                self.writes_by_task[asyncio.current_task()] = call
            await self._route(call)(call)
        except S3Error as fault:
            self.lifecycle.counters.add(f"objects_error_{fault.code}")
            if conn.active_request is message:
                self._reply_error(conn, message, fault, request)
        except Exception as fault:
            self.lifecycle.counters.add("objects_unexpected_errors")
            self.log.error("object_request_broke", why=repr(fault), target=message.target.decode("latin-1"))
            if conn.active_request is message:
                self._reply_error(conn, message, S3Error("InternalError", "the front failed"), request)
        finally:  # status 0: the client left first
            self.writes_by_task.pop(asyncio.current_task(), None)
            took = (self.lifecycle.clock() - message.received_us) / 1000
            path, method = message.split_target()[0].decode("latin-1"), message.method.decode()
            self.log.info(
                "object_request",
                request=request,
                method=method,
                path=path,
                status=conn.response_status,
                bytes=conn.response_length,
                ms=round(took, 1),
            )

    def _reply_error(
        self, conn: ServerConnection, message: HttpRequest, fault: S3Error, request: str
    ) -> None:
        path = message.split_target()[0].decode("latin-1")
        headers = [b"Content-Type: application/xml", *fault.headers]
        if fault.status == 503:
            seconds = math.ceil((fault.retry_after_us or self.retry_after_us) / 1e6)
            headers.append(b"Retry-After: %d" % max(seconds, 1))
        body = s3.error_document(fault, path, request)
        if message.method == b"HEAD":
            conn.send_response(fault.status, headers, b"", len(body))
        else:
            conn.send_response(fault.status, headers, body)

    # What is asked for

    def _parse_request(self, conn: ServerConnection, message: HttpRequest, request: str) -> ObjectRequest:
        path, query = message.split_target()
        bucket, _, key = path.lstrip(b"/").partition(b"/")
        try:
            names = unquote_to_bytes(bucket).decode(), unquote_to_bytes(key).decode()
            asked = parse_qs(query.decode(), keep_blank_values=True)
        except UnicodeDecodeError:
            raise S3Error("InvalidArgument", "names must be UTF-8") from None
        if len(names[1].encode()) > MAX_KEY_BYTES:
            raise S3Error("KeyTooLongError", f"a key may have {MAX_KEY_BYTES} bytes")
        flat = {k: v[0] for k, v in asked.items() if k not in IGNORED_PARAMETERS}
        return ObjectRequest(conn, message, request, *names, flat)

    def _route(self, call: ObjectRequest) -> Callable[[ObjectRequest], Coroutine[Any, Any, None]]:
        method, query = call.message.method, call.query
        if not call.bucket:
            raise S3Error("NotImplemented", "buckets are not listed here")
        if call.bucket not in self.config.plan_by_bucket:
            raise S3Error("NoSuchBucket", f"no such bucket: {call.bucket}")
        call.plan = self.config.plan_by_bucket[call.bucket]
        if not call.key:
            if method == b"HEAD":
                return self._head_bucket
            raise S3Error("NotImplemented", "buckets are set up in the operator's file, and not listed")
        if call.header(b"x-amz-content-sha256").startswith("STREAMING-"):
            raise S3Error(
                "NotImplemented", "signed chunks are not read here: send the body as it is, unsigned"
            )
        if call.message.method in (b"PUT", b"DELETE") and not CONDITIONAL_HEADERS.isdisjoint(
            call.message.headers
        ):
            raise S3Error("NotImplemented", "writes take no conditions here")  # ignored, they would lose data
        if call.header(b"x-amz-copy-source"):
            raise S3Error("NotImplemented", "objects are not copied here")
        routes = {
            (b"GET", ()): (self._get_object, self.config.read),
            (b"HEAD", ()): (self._get_object, self.config.read),
            (b"PUT", ()): (self._put_object, self.config.write),
            (b"DELETE", ()): (self._delete_object, self.config.write),
            (b"POST", ("uploads",)): (self._create_upload, self.config.upload),
            (b"PUT", ("partNumber", "uploadId")): (self._upload_part, self.config.upload),
            (b"POST", ("uploadId",)): (self._complete_upload, self.config.upload),
            (b"DELETE", ("uploadId",)): (self._abort_upload, self.config.upload),
        }
        found = routes.get((method, tuple(sorted(query))))
        if found is None:
            if method in (b"GET", b"HEAD", b"PUT", b"POST", b"DELETE") and query:
                raise S3Error("NotImplemented", "this operation is not offered")
            raise S3Error("MethodNotAllowed", "this method is not offered here")
        call.deadline_us = call.message.received_us + min(found[1].timeout_us, self._time_budget_us(call))
        return found[0]

    def _time_budget_us(self, call: ObjectRequest) -> int:
        """A client may say in seconds how long it waits, as on the platform."""
        try:
            told = float(call.header(b"x-budget") or "inf")
        except ValueError:
            raise S3Error("InvalidArgument", "X-Budget must be seconds") from None
        if not told > 0:
            raise S3Error("InvalidArgument", "X-Budget must be above 0")
        return int(min(told, 86400.0) * 0.95e6)  # the rest is for the way here and back

    # Blocks, through the engine

    async def _request_block(
        self, call: ObjectRequest, op: ObjectOperation, block: str, body: bytes | None, give_up: int
    ) -> Answer:
        """One chunk server request; a body makes it a write."""
        if call.client_has_left:
            return Answer(AnswerKind.REJECTED, reason="its client left")
        ended: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        cls = self.lifecycle.classes[op.class_name]
        volume = hashed_name("volume", call.bucket)
        shard = int(hashed_name("shard", call.bucket, call.key), 16) % self.config.shard_count
        most = self.lifecycle.settings.max_request_units
        size = self.config.block_bytes if body is None else len(body)
        units = min(max(math.ceil(size / self.config.unit_bytes), 1), int(most) or 1)
        hosts = self.lifecycle.settings.front_count
        self.request_count += 1
        out = OutgoingRequest(
            b"GET" if body is None else b"PUT",
            f"/{quote(op.class_name)}?block={block}".encode(),
            [
                b"X-Call-Id: "
                + hashed_name("call", self.uploads.incarnation, str(self.request_count)).encode(),
                b"X-Plan: " + call.plan.encode(),
                f"X-IO: volume={volume},units={units},shard={shard},hosts={hosts}".encode(),
            ],
            body or b"",
            READ_SERVED_STATUS if body is None else frozenset((200,)),
        )
        until = min(give_up, self.lifecycle.clock() + cls.timeout_us)
        ask = IncomingRequest(
            op.class_name,
            call.plan,
            volume,
            block,
            shard,
            units,
            until,
            out,
            hosts,
            client_has_left=call.conn.check_disconnected,
        )
        ticket: InFlightRequest = self.lifecycle.accept(
            ask, lambda answer: set_result_if_pending(ended, answer)
        )
        call.open_block_requests.add(ticket)
        try:
            return await ended
        except asyncio.CancelledError:
            self.lifecycle.client_left(ticket)
            raise
        finally:
            call.open_block_requests.discard(ticket)

    async def _read_block(self, call: ObjectRequest, op: ObjectOperation, block: str, give_up: int) -> Reply:
        answer = await self._request_block(call, op, block, None, give_up)
        if answer.kind is AnswerKind.SERVED and answer.reply is not None:
            return answer.reply
        if answer.kind is AnswerKind.REJECTED:
            raise S3Error("SlowDown", answer.reason or "not read in time", answer.retry_after_us)
        raise S3Error("InternalError", "a chunk server failed")

    async def _write_block(
        self, call: ObjectRequest, op: ObjectOperation, block: str, body: bytes, give_up: int
    ) -> StoreState:
        """What became of it: done, open (nothing ran), or doubtful."""
        answer = await self._request_block(call, op, block, body, give_up)
        if answer.kind is AnswerKind.SERVED:
            return StoreState.COMPLETE
        return StoreState.UNCERTAIN if answer.may_have_run else StoreState.OPEN

    async def _read_manifest(self, call: ObjectRequest) -> Manifest | None:
        block = hashed_name("manifest", call.bucket, call.key)
        reply = await self._read_block(call, self.config.read, block, call.deadline_us)
        if reply.status == 404:
            return None
        try:
            found = Manifest.from_bytes(reply.body)
        except (ValueError, KeyError, TypeError):
            raise S3Error("InternalError", "the object's manifest can't be read") from None
        if found is not None and (found.bucket, found.key) != (call.bucket, call.key):
            raise S3Error("InternalError", "the manifest is another object's")
        return found

    async def _write_manifest(self, call: ObjectRequest, op: ObjectOperation, body: bytes) -> StoreState:
        if len(body) > MAX_BODY_BYTES:
            raise S3Error("InvalidRequest", "the object has more parts than its manifest can hold")
        return await self._write_block(
            call, op, hashed_name("manifest", call.bucket, call.key), body, call.deadline_us
        )

    async def _store_part(
        self, call: ObjectRequest, op: ObjectOperation, part: UploadPart, body: bytes
    ) -> StoreState:
        """The part's blocks that are not stored yet; each goes out once at most in its life."""
        blocks = -(-len(body) // self.config.block_bytes)
        todo = [k for k in range(blocks) if not part.stored_blocks_mask >> k & 1]
        part.state = StoreState.IN_PROGRESS
        state = StoreState.UNCERTAIN  # what it stays if this is cut off
        try:
            for at in range(0, len(todo), self.config.max_parallel_blocks):
                batch = todo[at : at + self.config.max_parallel_blocks]
                got = await asyncio.gather(*(self._store_block(call, op, part, k, body) for k in batch))
                part.stored_blocks_mask |= sum(
                    1 << k for k, ended in zip(batch, got, strict=True) if ended is StoreState.COMPLETE
                )
                if StoreState.UNCERTAIN in got:
                    return state
                if StoreState.OPEN in got:
                    state = StoreState.OPEN
                    return state
            state = StoreState.COMPLETE
            return state
        finally:
            part.state = state
            for waiting in part.waiting_retries:
                set_result_if_pending(waiting, True)

    async def _store_block(
        self, call: ObjectRequest, op: ObjectOperation, part: UploadPart, k: int, body: bytes
    ) -> StoreState:
        piece = body[k * self.config.block_bytes : (k + 1) * self.config.block_bytes]
        return await self._write_block(call, op, hashed_name(part.nonce, str(k)), piece, call.deadline_us)

    # Operations

    async def _head_bucket(self, call: ObjectRequest) -> None:
        call.conn.send_response(200, (), b"", 0)

    def _verified_body(self, call: ObjectRequest) -> tuple[bytes, str]:
        """The body and its MD5, checked against what the client says of it."""
        body = call.message.body
        md5 = hashlib.md5(body, usedforsecurity=False)
        told = call.header(b"content-md5")
        if told and told != base64.b64encode(md5.digest()).decode():
            raise S3Error("BadDigest", "Content-MD5 does not match the body")
        return body, md5.hexdigest()

    def _stored_headers(self, call: ObjectRequest) -> dict[str, str]:
        got = {k.decode("latin-1"): v.decode("latin-1") for k, v in call.message.headers.items()}
        meta = {k: v for k, v in got.items() if k.startswith("x-amz-meta-")}
        if sum(len(k) + len(v) for k, v in meta.items()) > MAX_METADATA_BYTES:
            raise S3Error("InvalidArgument", f"metadata may have {MAX_METADATA_BYTES} bytes")
        return {"content-type": got.get("content-type", "application/octet-stream")} | meta

    async def _put_object(self, call: ObjectRequest) -> None:
        body, md5 = self._verified_body(call)
        headers = self._stored_headers(call)
        part = UploadPart(md5, len(body), self.uploads.new_nonce())
        state = await self._store_part(call, self.config.write, part, body)
        if state is StoreState.COMPLETE:
            made = Manifest(
                call.bucket,
                call.key,
                len(body),
                md5,
                self.lifecycle.clock() // 1_000_000,
                self.config.block_bytes,
                [(part.nonce, len(body))] if body else [],
                headers,
            )
            state = await self._write_manifest(call, self.config.write, made.to_bytes())
            if state is StoreState.COMPLETE:
                call.conn.send_response(200, (b'ETag: "%s"' % md5.encode(),), b"")
                return
            if state is StoreState.UNCERTAIN:
                raise S3Error("InternalError", "the object may have been stored: read it to see")
        # Blocks without a manifest are no object: trying again is harmless, and writes other blocks.
        raise S3Error("SlowDown", "the object was not stored")

    async def _delete_object(self, call: ObjectRequest) -> None:
        """A manifest that says so; the chunk servers' protocol has no way to free blocks."""
        state = await self._write_manifest(call, self.config.write, b'{"v": 1, "deleted": true}')
        if state is StoreState.OPEN:
            raise S3Error("SlowDown", "the object was not deleted")
        if state is StoreState.UNCERTAIN:
            raise S3Error("InternalError", "the object may have been deleted: read it to see")
        call.conn.send_response(204, (), b"")

    async def _create_upload(self, call: ObjectRequest) -> None:
        upload = self.uploads.create(call.bucket, call.key, self._stored_headers(call), self.retry_after_us)
        told = {"Bucket": call.bucket, "Key": call.key, "UploadId": upload.upload_id}
        self._reply_xml(call, s3.xml_document("InitiateMultipartUploadResult", told))

    async def _upload_part(self, call: ObjectRequest) -> None:
        body, md5 = self._verified_body(call)
        number = call.query["partNumber"]
        if not number.isascii() or not number.isdigit():
            raise S3Error("InvalidArgument", "partNumber must be a number")
        upload = self.uploads.find(call.query["uploadId"], call.bucket, call.key)
        part = self.uploads.prepare_part(upload, int(number), md5, len(body))
        while part.state is StoreState.IN_PROGRESS and await self._wait_for_earlier(call, part):
            part = self.uploads.prepare_part(upload, int(number), md5, len(body))
        if part.state is StoreState.IN_PROGRESS:
            raise S3Error("OperationAborted", f"part {int(number)} is being stored by an earlier request")
        if part.state is not StoreState.COMPLETE:
            state = await self._store_part(call, self.config.upload, part, body)
            if state is StoreState.UNCERTAIN:
                raise uncertain_part_error(int(number))
            if state is StoreState.OPEN:  # what is stored stays so; a retry sends the rest
                raise S3Error("SlowDown", f"part {int(number)} is not stored yet")
        else:
            self.lifecycle.counters.add("objects_parts_answered_from_ledger")
        call.conn.send_response(200, (b'ETag: "%s"' % md5.encode(),), b"")

    async def _wait_for_earlier(self, call: ObjectRequest, part: UploadPart) -> bool:
        """Wait for the earlier request that stores the part, whose client lost patience; False if it goes on
        beyond this one's time."""
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        part.waiting_retries.append(ended)
        timer = self.lifecycle.wheel.call_at(call.deadline_us, set_result_if_pending, ended, False)
        try:
            return await ended
        finally:
            timer.cancel()
            part.waiting_retries = [w for w in part.waiting_retries if w is not ended]

    async def _complete_upload(self, call: ObjectRequest) -> None:
        upload = self.uploads.find(call.query["uploadId"], call.bucket, call.key)
        listed = s3.parse_completed_parts(call.message.body)
        if upload.state is StoreState.IN_PROGRESS:
            raise S3Error("OperationAborted", "the upload is being completed by an earlier request")
        if upload.state is StoreState.OPEN:
            made = self._assemble_manifest(upload, listed)
            upload.completed_parts, upload.etag, upload.state = listed, made.etag, StoreState.IN_PROGRESS
            state = StoreState.UNCERTAIN
            try:
                state = await self._write_manifest(call, self.config.upload, made.to_bytes())
            finally:
                upload.state = state
        elif listed != upload.completed_parts:
            raise S3Error("InvalidPart", "the upload was completed with other parts")
        elif upload.state is StoreState.UNCERTAIN:
            # The manifest is not written again. Reading it is harmless, and tells.
            found = await self._read_manifest(call)
            if found is not None and found.upload == upload.upload_id:
                upload.state = StoreState.COMPLETE
        if upload.state is StoreState.OPEN:
            raise S3Error("SlowDown", "the upload is not completed yet")
        if upload.state is not StoreState.COMPLETE:
            raise S3Error("OperationAborted", "the upload may have been completed: read the object to see")
        upload.parts.clear()
        told = {
            "Location": f"/{call.bucket}/{quote(call.key)}",
            "Bucket": call.bucket,
            "Key": call.key,
            "ETag": f'"{upload.etag}"',
        }
        self._reply_xml(call, s3.xml_document("CompleteMultipartUploadResult", told))

    def _assemble_manifest(self, upload: MultipartUpload, listed: list[tuple[int, str]]) -> Manifest:
        numbers = [number for number, _ in listed]
        if numbers != sorted(set(numbers)):
            raise S3Error("InvalidPartOrder", "part numbers must rise")
        parts = []
        for number, etag in listed:
            part = upload.parts.get(number)
            if part is None or part.state is not StoreState.COMPLETE or part.md5_hex != etag:
                raise S3Error("InvalidPart", f"part {number} is not stored with this ETag")
            parts.append(part)
        size = sum(p.size_bytes for p in parts)
        if size > self.config.max_object_bytes:
            raise S3Error("EntityTooLarge", f"an object may have {self.config.max_object_bytes} bytes")
        md5 = hashlib.md5(b"".join(bytes.fromhex(p.md5_hex) for p in parts), usedforsecurity=False)
        return Manifest(
            upload.bucket,
            upload.key,
            size,
            f"{md5.hexdigest()}-{len(parts)}",
            self.lifecycle.clock() // 1_000_000,
            self.config.block_bytes,
            [(p.nonce, p.size_bytes) for p in parts if p.size_bytes],
            upload.headers,
            upload.upload_id,
        )

    async def _abort_upload(self, call: ObjectRequest) -> None:
        upload = self.uploads.find(call.query["uploadId"], call.bucket, call.key)
        if upload.state is StoreState.IN_PROGRESS:
            raise S3Error("OperationAborted", "the upload is being completed")
        del self.uploads.uploads[upload.upload_id]
        call.conn.send_response(204, (), b"")

    def _reply_xml(self, call: ObjectRequest, body: bytes) -> None:
        call.conn.send_response(200, (b"Content-Type: application/xml",), body)

    # Reading

    async def _get_object(self, call: ObjectRequest) -> None:
        found = await self._read_manifest(call)
        if found is None:
            raise S3Error("NoSuchKey", "no such object")
        modified = formatdate(found.modified, usegmt=True)
        headers = [
            f'ETag: "{found.etag}"'.encode(),
            f"Last-Modified: {modified}".encode(),
            b"Accept-Ranges: bytes",
            *(f"{k}: {v}".encode("latin-1") for k, v in found.headers.items() if k != "content-type"),
        ]
        kind = found.headers.get("content-type", "application/octet-stream")
        if not self._is_modified(call, found, modified):
            call.conn.send_response(304, headers, b"")
            return
        spans = None
        told = call.header(b"if-range")
        if call.message.method == b"GET" and (not told or told in (f'"{found.etag}"', modified)):
            spans = ranges.parse_ranges(call.header(b"range"), found.size)
        if spans == []:
            whole = f"Content-Range: bytes */{found.size}".encode()
            raise S3Error("InvalidRange", "no range lies within the object", 0, whole)
        status, segments = 200, [(0, found.size)]
        if spans is None:
            headers.append(f"Content-Type: {kind}".encode("latin-1"))
        elif len(spans) == 1:
            (begin, end), status, segments = spans[0], 206, list(spans)
            headers += [
                f"Content-Type: {kind}".encode("latin-1"),
                f"Content-Range: bytes {begin}-{end - 1}/{found.size}".encode(),
            ]
        else:
            status = 206
            boundary = BOUNDARY_TEMPLATE.format(call.request_id)
            headers.append(f"Content-Type: multipart/byteranges; boundary={boundary}".encode())
            segments = self._multipart_segments(spans, boundary, kind, found.size)
        length = sum(len(s) if isinstance(s, bytes) else s[1] - s[0] for s in segments)
        if call.message.method == b"HEAD":
            call.conn.send_response(200, headers, b"", length)
            return
        await self._send_body(call, found, status, headers, segments, length)

    @staticmethod
    def _multipart_segments(spans: list[ranges.ByteRange], boundary: str, kind: str, size: int) -> list[Any]:
        segments: list[Any] = []
        for begin, end in spans:
            span = f"Content-Range: bytes {begin}-{end - 1}/{size}"
            head = f"--{boundary}\r\nContent-Type: {kind}\r\n{span}\r\n\r\n"
            segments += [head.encode("latin-1"), (begin, end), b"\r\n"]
        return [*segments, f"--{boundary}--\r\n".encode()]

    @staticmethod
    def _is_modified(call: ObjectRequest, found: Manifest, modified: str) -> bool:
        """RFC 9110, section 13.2.2; dates are compared as the text that this front gave out."""

        def among(header: str) -> bool:
            listed = [e.strip().removeprefix("W/").strip('"') for e in header.split(",")]
            return "*" in listed or found.etag in listed

        if match := call.header(b"if-match"):
            if not among(match):
                raise S3Error("PreconditionFailed", "If-Match")
        elif (since := call.header(b"if-unmodified-since")) and since != modified:
            raise S3Error("PreconditionFailed", "If-Unmodified-Since")
        if none := call.header(b"if-none-match"):
            return not among(none)
        return call.header(b"if-modified-since") != modified

    async def _send_body(
        self,
        call: ObjectRequest,
        found: Manifest,
        status: int,
        headers: list[bytes],
        segments: list[Any],
        length: int,
    ) -> None:
        """Up to `buffer` bytes are there before the head goes out, so what fails until then is one clear
        answer. The rest goes window by window; if one fails, the connection breaks off short of the end."""
        conn, conf = call.conn, self.config
        op = conf.bulk if length > conf.bulk_threshold_bytes else conf.read
        held = min(length, conf.buffer_bytes) + min(
            length + conf.block_bytes, conf.max_parallel_blocks * conf.block_bytes
        )
        with MemoryReservation(self.client_group, held, self.retry_after_us):
            windows = self._read_windows(call, op, found, segments)
            first: list[bytes] = []
            size = 0
            while size < min(length, conf.buffer_bytes):
                first.append(await anext(windows))
                size += len(first[-1])
            if size >= length:
                conn.send_response(status, headers, b"".join(first))
                return
            call.deadline_us = 0  # from here on each window has its own time
            conn.transport.writelines(conn.begin_response(status, headers, length) + first)
            first.clear()
            try:
                async for window in windows:
                    if not await self._wait_writable(conn):
                        return
                    conn.transport.write(window)
            except S3Error as fault:
                self.lifecycle.counters.add("objects_reads_broken_off")
                self.log.warning("object_read_broken_off", why=fault.message, request=call.request_id)
                conn.transport.abort()
                return
            conn.finish_response()

    async def _wait_writable(self, conn: ServerConnection) -> bool:
        """False if the client left, or reads so slowly that it is left."""
        timer = self.lifecycle.wheel.call_after(CLIENT_READ_TIMEOUT_US, conn.transport.abort)
        try:
            return await conn.wait_writable()
        finally:
            timer.cancel()

    async def _read_windows(
        self, call: ObjectRequest, op: ObjectOperation, found: Manifest, segments: list[Any]
    ) -> AsyncIterator[bytes]:
        """The body in order, `parallel` blocks at a time."""
        for segment in segments:
            if isinstance(segment, bytes):
                yield segment
                continue
            pieces = list(found.block_ranges(*segment))
            for at in range(0, len(pieces), self.config.max_parallel_blocks):
                give_up = call.deadline_us or self.lifecycle.clock() + op.timeout_us
                batch = [
                    self._read_block_range(call, op, p, give_up)
                    for p in pieces[at : at + self.config.max_parallel_blocks]
                ]
                yield b"".join(await asyncio.gather(*batch))

    async def _read_block_range(
        self, call: ObjectRequest, op: ObjectOperation, piece: BlockRange, give_up: int
    ) -> bytes:
        block, begin, end, whole = piece
        reply = await self._read_block(call, op, block, give_up)
        if reply.status != 200 or len(reply.body) != whole:
            raise S3Error("InternalError", "a block of the object is missing or cut short")
        return reply.body[begin:end]
