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

from umberlead.config import Objects, Operation
from umberlead.frontends.object_api import ranges
from umberlead.frontends.object_api import s3_messages as s3
from umberlead.frontends.object_api.s3_messages import S3Error
from umberlead.frontends.object_api.uploads import Ledger, Part, State, Upload, doubtful
from umberlead.net.client_connections import Clients
from umberlead.net.http_message import Message
from umberlead.net.node_protocol import OutgoingRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import Engine
from umberlead.requests.types import Answer, IncomingRequest, InFlightRequest, Kind, Reply
from umberlead.resource_limits import BODY_MOST

KEY_MOST = 1024  # bytes
META_MOST = 2048  # bytes of a client's own x-amz-meta- headers
READ_TIME = 60_000_000  # us a client may take over what was written to it
SERVED_READ = frozenset((200, 404))  # a chunk server answers 404 for a block it does not hold
IGNORED = {"x-id"}  # SDKs name the operation there
CONDITIONS = frozenset((b"if-match", b"if-none-match", b"if-modified-since", b"if-unmodified-since"))
BOUNDARY = "umberlead-{}"

T = TypeVar("T")
Piece = tuple[str, int, int, int]  # block, first byte and the one after the last within it, its whole size


def digest(*words: str) -> str:
    """16 hex digits, as blocks and volumes are named."""
    return hashlib.blake2b("\0".join(words).encode(), digest_size=8).hexdigest()


def settle(future: asyncio.Future[T], value: T) -> None:
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

    def dump(self) -> bytes:
        return json.dumps({"v": 1} | {n: getattr(self, n) for n in self.__slots__}).encode()

    @classmethod
    def load(cls, body: bytes) -> "Manifest | None":
        """None stands for a deleted object."""
        got = json.loads(body)
        if got.pop("v") != 1:
            raise ValueError("unknown version")
        if got.get("deleted"):
            return None
        got["parts"] = [(str(nonce), int(size)) for nonce, size in got["parts"]]
        return cls(**got)

    def pieces(self, begin: int, end: int) -> Iterator[Piece]:
        """The blocks that hold the bytes from `begin` up to `end`."""
        at = 0
        for nonce, size in self.parts:
            if at < end and at + size > begin:
                for k in range(max(begin - at, 0) // self.block, -(-min(end - at, size) // self.block)):
                    base = at + k * self.block
                    whole = min(self.block, at + size - base)
                    yield digest(nonce, str(k)), max(begin - base, 0), min(end - base, whole), whole
            at += size


@dataclass(slots=True)
class Call:
    """One client request on its way."""

    conn: ServerConnection
    message: Message
    id: str
    bucket: str
    key: str
    query: dict[str, str]
    plan: str = ""
    give_up: int = 0
    open: set[InFlightRequest] = field(default_factory=set)  # of blocks that are asked for or written now
    left: bool = False  # its client did

    def header(self, name: bytes) -> str:
        return self.message.headers.get(name, b"").decode("latin-1").strip()


class Held:
    """Memory taken from the listener's share while a block of code runs."""

    def __init__(self, clients: Clients, size: int, retry_after: int) -> None:
        if clients.held_bytes + size > clients.memory_limit_bytes:
            raise S3Error("SlowDown", "too much is being read at present", retry_after)
        self.clients, self.size = clients, size
        clients.held_bytes += size

    def __enter__(self) -> None:
        pass

    def __exit__(self, *_: object) -> None:
        self.clients.held_bytes -= self.size


class ObjectFront:
    sends_date = True
    singleton_headers = frozenset((b"range", b"content-md5", b"x-budget", b"if-range", b"x-amz-copy-source"))
    allows_slow_bodies = True

    def __init__(
        self,
        conf: Objects,
        engine: Engine,
        ledger: Ledger,
        clients: Clients,
        retry_after: int,
        log: Any,
    ) -> None:
        self.conf, self.engine, self.ledger, self.clients = conf, engine, ledger, clients
        self.retry_after, self.log = retry_after, log
        self.max_body_bytes = conf.max_part
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.writes: dict[Any, Call] = {}  # by task: what must not be cut off in the middle

    # Handler

    def request(self, conn: ServerConnection, message: Message) -> None:
        if message.target == b"/healthz":
            conn.reply(200, (), b"ok\n")
            return
        self.count += 1
        self.engine.counters.add("objects_requests")
        task = asyncio.get_running_loop().create_task(self._serve(conn, message, f"{self.count:016x}"))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        conn.context = task

    def client_disconnected(self, conn: ServerConnection) -> None:
        """A read ends with its client. Of a write nothing more is begun; what is out runs on, so that the
        ledger knows how it ended."""
        task, conn.context = conn.context, None
        call = self.writes.get(task)
        if call is not None:
            call.left = True
            for ticket in list(call.open):
                self.engine.forsake(ticket)
        elif task is not None:
            task.cancel()

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        code = {400: "InvalidRequest", 408: "RequestTimeout", 413: "EntityTooLarge", 503: "SlowDown"}
        fault = S3Error(code.get(status, "RequestHeaderSectionTooLarge"), reason)
        self._error(conn, conn.partial_request or Message(), fault, "")

    async def _serve(self, conn: ServerConnection, message: Message, request: str) -> None:
        conn.status = conn.length = 0
        try:
            call = self._call(conn, message, request)
            if message.method not in (b"GET", b"HEAD"):
                self.writes[asyncio.current_task()] = call
            await self._route(call)(call)
        except S3Error as fault:
            self.engine.counters.add(f"objects_error_{fault.code}")
            if conn.current is message:
                self._error(conn, message, fault, request)
        except Exception as fault:
            self.engine.counters.add("objects_unexpected_errors")
            self.log.error("object_request_broke", why=repr(fault), target=message.target.decode("latin-1"))
            if conn.current is message:
                self._error(conn, message, S3Error("InternalError", "the front failed"), request)
        finally:  # status 0: the client left first
            self.writes.pop(asyncio.current_task(), None)
            took = (self.engine.clock() - message.received) / 1000
            path, method = message.split()[0].decode("latin-1"), message.method.decode()
            self.log.info(
                "object_request", request=request, method=method, path=path, status=conn.status,
                bytes=conn.length, ms=round(took, 1),
            )  # fmt: skip

    def _error(self, conn: ServerConnection, message: Message, fault: S3Error, request: str) -> None:
        path = message.split()[0].decode("latin-1")
        headers = [b"Content-Type: application/xml", *fault.headers]
        if fault.status == 503:
            seconds = math.ceil((fault.retry_after or self.retry_after) / 1e6)
            headers.append(b"Retry-After: %d" % max(seconds, 1))
        body = s3.error(fault, path, request)
        if message.method == b"HEAD":
            conn.reply(fault.status, headers, b"", len(body))
        else:
            conn.reply(fault.status, headers, body)

    # What is asked for

    def _call(self, conn: ServerConnection, message: Message, request: str) -> Call:
        path, query = message.split()
        bucket, _, key = path.lstrip(b"/").partition(b"/")
        try:
            names = unquote_to_bytes(bucket).decode(), unquote_to_bytes(key).decode()
            asked = parse_qs(query.decode(), keep_blank_values=True)
        except UnicodeDecodeError:
            raise S3Error("InvalidArgument", "names must be UTF-8") from None
        if len(names[1].encode()) > KEY_MOST:
            raise S3Error("KeyTooLongError", f"a key may have {KEY_MOST} bytes")
        flat = {k: v[0] for k, v in asked.items() if k not in IGNORED}
        return Call(conn, message, request, *names, flat)

    def _route(self, call: Call) -> Callable[[Call], Coroutine[Any, Any, None]]:
        method, query = call.message.method, call.query
        if not call.bucket:
            raise S3Error("NotImplemented", "buckets are not listed here")
        if call.bucket not in self.conf.buckets:
            raise S3Error("NoSuchBucket", f"no such bucket: {call.bucket}")
        call.plan = self.conf.buckets[call.bucket]
        if not call.key:
            if method == b"HEAD":
                return self._head_bucket
            raise S3Error("NotImplemented", "buckets are set up in the operator's file, and not listed")
        if call.header(b"x-amz-content-sha256").startswith("STREAMING-"):
            raise S3Error(
                "NotImplemented", "signed chunks are not read here: send the body as it is, unsigned"
            )
        if call.message.method in (b"PUT", b"DELETE") and not CONDITIONS.isdisjoint(call.message.headers):
            raise S3Error("NotImplemented", "writes take no conditions here")  # ignored, they would lose data
        if call.header(b"x-amz-copy-source"):
            raise S3Error("NotImplemented", "objects are not copied here")
        routes = {
            (b"GET", ()): (self._get, self.conf.read),
            (b"HEAD", ()): (self._get, self.conf.read),
            (b"PUT", ()): (self._put, self.conf.write),
            (b"DELETE", ()): (self._delete, self.conf.write),
            (b"POST", ("uploads",)): (self._create, self.conf.upload),
            (b"PUT", ("partNumber", "uploadId")): (self._upload_part, self.conf.upload),
            (b"POST", ("uploadId",)): (self._complete, self.conf.upload),
            (b"DELETE", ("uploadId",)): (self._abort, self.conf.upload),
        }
        found = routes.get((method, tuple(sorted(query))))
        if found is None:
            if method in (b"GET", b"HEAD", b"PUT", b"POST", b"DELETE") and query:
                raise S3Error("NotImplemented", "this operation is not offered")
            raise S3Error("MethodNotAllowed", "this method is not offered here")
        call.give_up = call.message.received + min(found[1].within, self._budget(call))
        return found[0]

    def _budget(self, call: Call) -> int:
        """A client may say in seconds how long it waits, as on the platform."""
        try:
            told = float(call.header(b"x-budget") or "inf")
        except ValueError:
            raise S3Error("InvalidArgument", "X-Budget must be seconds") from None
        if not told > 0:
            raise S3Error("InvalidArgument", "X-Budget must be above 0")
        return int(min(told, 86400.0) * 0.95e6)  # the rest is for the way here and back

    # Blocks, through the engine

    async def _ask(self, call: Call, op: Operation, block: str, body: bytes | None, give_up: int) -> Answer:
        """One chunk server request; a body makes it a write."""
        if call.left:
            return Answer(Kind.REFUSED, reason="its client left")
        ended: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        cls = self.engine.classes[op.class_name]
        volume = digest("volume", call.bucket)
        shard = int(digest("shard", call.bucket, call.key), 16) % self.conf.shards
        most = self.engine.settings.max_units
        size = self.conf.block if body is None else len(body)
        units = min(max(math.ceil(size / self.conf.unit_bytes), 1), int(most) or 1)
        hosts = self.engine.settings.heads
        self.count += 1
        out = OutgoingRequest(
            b"GET" if body is None else b"PUT",
            f"/{quote(op.class_name)}?block={block}".encode(),
            [
                b"X-Call-Id: " + digest("call", self.ledger.life, str(self.count)).encode(),
                b"X-Plan: " + call.plan.encode(),
                f"X-IO: volume={volume},units={units},shard={shard},hosts={hosts}".encode(),
            ],
            body or b"",
            SERVED_READ if body is None else frozenset((200,)),
        )
        until = min(give_up, self.engine.clock() + cls.deadline)
        ask = IncomingRequest(
            op.class_name, call.plan, volume, block, shard, units, until, out, hosts,
            left=call.conn.check_disconnected,
        )  # fmt: skip
        ticket: InFlightRequest = self.engine.take(ask, lambda answer: settle(ended, answer))
        call.open.add(ticket)
        try:
            return await ended
        except asyncio.CancelledError:
            self.engine.gone(ticket)
            raise
        finally:
            call.open.discard(ticket)

    async def _read(self, call: Call, op: Operation, block: str, give_up: int) -> Reply:
        answer = await self._ask(call, op, block, None, give_up)
        if answer.kind is Kind.SERVED and answer.reply is not None:
            return answer.reply
        if answer.kind is Kind.REFUSED:
            raise S3Error("SlowDown", answer.reason or "not read in time", answer.retry_after)
        raise S3Error("InternalError", "a chunk server failed")

    async def _write(self, call: Call, op: Operation, block: str, body: bytes, give_up: int) -> State:
        """What became of it: done, open (nothing ran), or doubtful."""
        answer = await self._ask(call, op, block, body, give_up)
        if answer.kind is Kind.SERVED:
            return State.DONE
        return State.DOUBTFUL if answer.may_have_run else State.OPEN

    async def _manifest(self, call: Call) -> Manifest | None:
        block = digest("manifest", call.bucket, call.key)
        reply = await self._read(call, self.conf.read, block, call.give_up)
        if reply.status == 404:
            return None
        try:
            found = Manifest.load(reply.body)
        except (ValueError, KeyError, TypeError):
            raise S3Error("InternalError", "the object's manifest can't be read") from None
        if found is not None and (found.bucket, found.key) != (call.bucket, call.key):
            raise S3Error("InternalError", "the manifest is another object's")
        return found

    async def _write_manifest(self, call: Call, op: Operation, body: bytes) -> State:
        if len(body) > BODY_MOST:
            raise S3Error("InvalidRequest", "the object has more parts than its manifest can hold")
        return await self._write(call, op, digest("manifest", call.bucket, call.key), body, call.give_up)

    async def _store(self, call: Call, op: Operation, part: Part, body: bytes) -> State:
        """The part's blocks that are not stored yet; each goes out once at most in its life."""
        blocks = -(-len(body) // self.conf.block)
        todo = [k for k in range(blocks) if not part.stored >> k & 1]
        part.state = State.BUSY
        state = State.DOUBTFUL  # what it stays if this is cut off
        try:
            for at in range(0, len(todo), self.conf.parallel):
                batch = todo[at : at + self.conf.parallel]
                got = await asyncio.gather(*(self._block(call, op, part, k, body) for k in batch))
                part.stored |= sum(1 << k for k, ended in zip(batch, got, strict=True) if ended is State.DONE)
                if State.DOUBTFUL in got:
                    return state
                if State.OPEN in got:
                    state = State.OPEN
                    return state
            state = State.DONE
            return state
        finally:
            part.state = state
            for waiting in part.waiting:
                settle(waiting, True)

    async def _block(self, call: Call, op: Operation, part: Part, k: int, body: bytes) -> State:
        piece = body[k * self.conf.block : (k + 1) * self.conf.block]
        return await self._write(call, op, digest(part.nonce, str(k)), piece, call.give_up)

    # Operations

    async def _head_bucket(self, call: Call) -> None:
        call.conn.reply(200, (), b"", 0)

    def _content(self, call: Call) -> tuple[bytes, str]:
        """The body and its MD5, checked against what the client says of it."""
        body = call.message.body
        md5 = hashlib.md5(body, usedforsecurity=False)
        told = call.header(b"content-md5")
        if told and told != base64.b64encode(md5.digest()).decode():
            raise S3Error("BadDigest", "Content-MD5 does not match the body")
        return body, md5.hexdigest()

    def _kept_headers(self, call: Call) -> dict[str, str]:
        got = {k.decode("latin-1"): v.decode("latin-1") for k, v in call.message.headers.items()}
        meta = {k: v for k, v in got.items() if k.startswith("x-amz-meta-")}
        if sum(len(k) + len(v) for k, v in meta.items()) > META_MOST:
            raise S3Error("InvalidArgument", f"metadata may have {META_MOST} bytes")
        return {"content-type": got.get("content-type", "application/octet-stream")} | meta

    async def _put(self, call: Call) -> None:
        body, md5 = self._content(call)
        headers = self._kept_headers(call)
        part = Part(md5, len(body), self.ledger.nonce())
        state = await self._store(call, self.conf.write, part, body)
        if state is State.DONE:
            made = Manifest(
                call.bucket, call.key, len(body), md5, self.engine.clock() // 1_000_000, self.conf.block,
                [(part.nonce, len(body))] if body else [], headers,
            )  # fmt: skip
            state = await self._write_manifest(call, self.conf.write, made.dump())
            if state is State.DONE:
                call.conn.reply(200, (b'ETag: "%s"' % md5.encode(),), b"")
                return
            if state is State.DOUBTFUL:
                raise S3Error("InternalError", "the object may have been stored: read it to see")
        # Blocks without a manifest are no object: trying again is harmless, and writes other blocks.
        raise S3Error("SlowDown", "the object was not stored")

    async def _delete(self, call: Call) -> None:
        """A manifest that says so; the chunk servers' protocol has no way to free blocks."""
        state = await self._write_manifest(call, self.conf.write, b'{"v": 1, "deleted": true}')
        if state is State.OPEN:
            raise S3Error("SlowDown", "the object was not deleted")
        if state is State.DOUBTFUL:
            raise S3Error("InternalError", "the object may have been deleted: read it to see")
        call.conn.reply(204, (), b"")

    async def _create(self, call: Call) -> None:
        upload = self.ledger.create(call.bucket, call.key, self._kept_headers(call), self.retry_after)
        told = {"Bucket": call.bucket, "Key": call.key, "UploadId": upload.id}
        self._xml(call, s3.document("InitiateMultipartUploadResult", told))

    async def _upload_part(self, call: Call) -> None:
        body, md5 = self._content(call)
        number = call.query["partNumber"]
        if not number.isascii() or not number.isdigit():
            raise S3Error("InvalidArgument", "partNumber must be a number")
        upload = self.ledger.find(call.query["uploadId"], call.bucket, call.key)
        part = self.ledger.part(upload, int(number), md5, len(body))
        while part.state is State.BUSY and await self._earlier(call, part):
            part = self.ledger.part(upload, int(number), md5, len(body))
        if part.state is State.BUSY:
            raise S3Error("OperationAborted", f"part {int(number)} is being stored by an earlier request")
        if part.state is not State.DONE:
            state = await self._store(call, self.conf.upload, part, body)
            if state is State.DOUBTFUL:
                raise doubtful(int(number))
            if state is State.OPEN:  # what is stored stays so; a retry sends the rest
                raise S3Error("SlowDown", f"part {int(number)} is not stored yet")
        else:
            self.engine.counters.add("objects_parts_answered_from_ledger")
        call.conn.reply(200, (b'ETag: "%s"' % md5.encode(),), b"")

    async def _earlier(self, call: Call, part: Part) -> bool:
        """Wait for the earlier request that stores the part, whose client lost patience; False if it goes on
        beyond this one's time."""
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        part.waiting.append(ended)
        timer = self.engine.wheel.at(call.give_up, settle, ended, False)
        try:
            return await ended
        finally:
            timer.cancel()
            part.waiting = [w for w in part.waiting if w is not ended]

    async def _complete(self, call: Call) -> None:
        upload = self.ledger.find(call.query["uploadId"], call.bucket, call.key)
        listed = s3.completed_parts(call.message.body)
        if upload.state is State.BUSY:
            raise S3Error("OperationAborted", "the upload is being completed by an earlier request")
        if upload.state is State.OPEN:
            made = self._assemble(upload, listed)
            upload.listed, upload.etag, upload.state = listed, made.etag, State.BUSY
            state = State.DOUBTFUL
            try:
                state = await self._write_manifest(call, self.conf.upload, made.dump())
            finally:
                upload.state = state
        elif listed != upload.listed:
            raise S3Error("InvalidPart", "the upload was completed with other parts")
        elif upload.state is State.DOUBTFUL:
            # The manifest is not written again. Reading it is harmless, and tells.
            found = await self._manifest(call)
            if found is not None and found.upload == upload.id:
                upload.state = State.DONE
        if upload.state is State.OPEN:
            raise S3Error("SlowDown", "the upload is not completed yet")
        if upload.state is not State.DONE:
            raise S3Error("OperationAborted", "the upload may have been completed: read the object to see")
        upload.parts.clear()
        told = {
            "Location": f"/{call.bucket}/{quote(call.key)}", "Bucket": call.bucket, "Key": call.key,
            "ETag": f'"{upload.etag}"',
        }  # fmt: skip
        self._xml(call, s3.document("CompleteMultipartUploadResult", told))

    def _assemble(self, upload: Upload, listed: list[tuple[int, str]]) -> Manifest:
        numbers = [number for number, _ in listed]
        if numbers != sorted(set(numbers)):
            raise S3Error("InvalidPartOrder", "part numbers must rise")
        parts = []
        for number, etag in listed:
            part = upload.parts.get(number)
            if part is None or part.state is not State.DONE or part.digest != etag:
                raise S3Error("InvalidPart", f"part {number} is not stored with this ETag")
            parts.append(part)
        size = sum(p.size for p in parts)
        if size > self.conf.max_object:
            raise S3Error("EntityTooLarge", f"an object may have {self.conf.max_object} bytes")
        md5 = hashlib.md5(b"".join(bytes.fromhex(p.digest) for p in parts), usedforsecurity=False)
        return Manifest(
            upload.bucket, upload.key, size, f"{md5.hexdigest()}-{len(parts)}",
            self.engine.clock() // 1_000_000, self.conf.block, [(p.nonce, p.size) for p in parts if p.size],
            upload.headers, upload.id,
        )  # fmt: skip

    async def _abort(self, call: Call) -> None:
        upload = self.ledger.find(call.query["uploadId"], call.bucket, call.key)
        if upload.state is State.BUSY:
            raise S3Error("OperationAborted", "the upload is being completed")
        del self.ledger.uploads[upload.id]
        call.conn.reply(204, (), b"")

    def _xml(self, call: Call, body: bytes) -> None:
        call.conn.reply(200, (b"Content-Type: application/xml",), body)

    # Reading

    async def _get(self, call: Call) -> None:
        found = await self._manifest(call)
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
        if not self._wanted(call, found, modified):
            call.conn.reply(304, headers, b"")
            return
        spans = None
        told = call.header(b"if-range")
        if call.message.method == b"GET" and (not told or told in (f'"{found.etag}"', modified)):
            spans = ranges.parse(call.header(b"range"), found.size)
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
            boundary = BOUNDARY.format(call.id)
            headers.append(f"Content-Type: multipart/byteranges; boundary={boundary}".encode())
            segments = self._multipart(spans, boundary, kind, found.size)
        length = sum(len(s) if isinstance(s, bytes) else s[1] - s[0] for s in segments)
        if call.message.method == b"HEAD":
            call.conn.reply(200, headers, b"", length)
            return
        await self._stream(call, found, status, headers, segments, length)

    @staticmethod
    def _multipart(spans: list[ranges.Range], boundary: str, kind: str, size: int) -> list[Any]:
        segments: list[Any] = []
        for begin, end in spans:
            span = f"Content-Range: bytes {begin}-{end - 1}/{size}"
            head = f"--{boundary}\r\nContent-Type: {kind}\r\n{span}\r\n\r\n"
            segments += [head.encode("latin-1"), (begin, end), b"\r\n"]
        return [*segments, f"--{boundary}--\r\n".encode()]

    @staticmethod
    def _wanted(call: Call, found: Manifest, modified: str) -> bool:
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

    async def _stream(
        self, call: Call, found: Manifest, status: int, headers: list[bytes], segments: list[Any], length: int
    ) -> None:
        """Up to `buffer` bytes are there before the head goes out, so what fails until then is one clear
        answer. The rest goes window by window; if one fails, the connection breaks off short of the end."""
        conn, conf = call.conn, self.conf
        op = conf.bulk if length > conf.bulk_over else conf.read
        held = min(length, conf.buffer) + min(length + conf.block, conf.parallel * conf.block)
        with Held(self.clients, held, self.retry_after):
            windows = self._windows(call, op, found, segments)
            first: list[bytes] = []
            size = 0
            while size < min(length, conf.buffer):
                first.append(await anext(windows))
                size += len(first[-1])
            if size >= length:
                conn.reply(status, headers, b"".join(first))
                return
            call.give_up = 0  # from here on each window has its own time
            conn.transport.writelines(conn.response_head(status, headers, length) + first)
            first.clear()
            try:
                async for window in windows:
                    if not await self._writable(conn):
                        return
                    conn.transport.write(window)
            except S3Error as fault:
                self.engine.counters.add("objects_reads_broken_off")
                self.log.warning("object_read_broken_off", why=fault.message, request=call.id)
                conn.transport.abort()
                return
            conn.finish_response()

    async def _writable(self, conn: ServerConnection) -> bool:
        """False if the client left, or reads so slowly that it is left."""
        timer = self.engine.wheel.after(READ_TIME, conn.transport.abort)
        try:
            return await conn.writable()
        finally:
            timer.cancel()

    async def _windows(
        self, call: Call, op: Operation, found: Manifest, segments: list[Any]
    ) -> AsyncIterator[bytes]:
        """The body in order, `parallel` blocks at a time."""
        for segment in segments:
            if isinstance(segment, bytes):
                yield segment
                continue
            pieces = list(found.pieces(*segment))
            for at in range(0, len(pieces), self.conf.parallel):
                give_up = call.give_up or self.engine.clock() + op.within
                batch = [self._piece(call, op, p, give_up) for p in pieces[at : at + self.conf.parallel]]
                yield b"".join(await asyncio.gather(*batch))

    async def _piece(self, call: Call, op: Operation, piece: Piece, give_up: int) -> bytes:
        block, begin, end, whole = piece
        reply = await self._read(call, op, block, give_up)
        if reply.status != 200 or len(reply.body) != whole:
            raise S3Error("InternalError", "a block of the object is missing or cut short")
        return reply.body[begin:end]
