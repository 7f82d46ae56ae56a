"""Blocks and manifests on chunk servers, read and written through the request lifecycle."""

import asyncio
import math
from typing import TypeVar
from urllib.parse import quote

from umberlead.configuration import ObjectApiConfig, ObjectOperation
from umberlead.frontends.object_api.errors import S3Error
from umberlead.frontends.object_api.manifest import BlockRange, Manifest, hashed_name
from umberlead.frontends.object_api.requests import ObjectRequest
from umberlead.frontends.object_api.uploads import StoreState, UploadPart
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, AnswerKind, IncomingRequest, Reply
from umberlead.resource_limits import MAX_BODY_BYTES

READ_SERVED_STATUS = frozenset((200, 404))  # a chunk server answers 404 for a block that it does not store
WRITE_SERVED_STATUS = frozenset((200,))

T = TypeVar("T")


def set_result_if_pending(future: asyncio.Future[T], value: T) -> None:
    """Set a future's result, unless it has one or was cancelled."""
    if not future.done():
        future.set_result(value)


class BlockStore:
    """Reads and writes blocks and manifests."""

    def __init__(self, config: ObjectApiConfig, lifecycle: RequestLifecycle, incarnation: str) -> None:
        """Create a store.

        Args:
            config: the object API's configuration.
            lifecycle: accepts the requests to chunk servers.
            incarnation: identifies the front and this process's start; call ids are derived from it.
        """
        self.config = config
        self.lifecycle = lifecycle
        self.incarnation = incarnation
        self._last_number = 0

    def next_number(self) -> int:
        """Return the next request number; client requests and chunk server requests share one sequence."""
        self._last_number += 1
        return self._last_number

    async def read(
        self, request: ObjectRequest, operation: ObjectOperation, block: str, deadline_us: int
    ) -> Reply:
        """Read a block.

        Args:
            request: the client request that needs the block.
            operation: the operation, which sets the class of the chunk server request.
            block: the block's name.
            deadline_us: when the chunk server request times out.

        Returns:
            The chunk server's reply, whose status is 404 if it does not store the block.

        Raises:
            S3Error: the request was rejected or failed.
        """
        answer = await self._request_block(request, operation, block, None, deadline_us)
        if answer.kind is AnswerKind.SERVED and answer.reply is not None:
            return answer.reply
        if answer.kind is AnswerKind.REJECTED:
            raise S3Error("SlowDown", answer.reason or "not read in time", answer.retry_after_us)
        raise S3Error("InternalError", "a chunk server failed")

    async def read_range(
        self, request: ObjectRequest, operation: ObjectOperation, block_range: BlockRange, deadline_us: int
    ) -> bytes:
        """Return a range of bytes of a block that the manifest lists as stored.

        Raises:
            S3Error: the block could not be read, is missing or has the wrong size.
        """
        reply = await self.read(request, operation, block_range.block, deadline_us)
        request.last_progress_us = self.lifecycle.clock()
        if reply.status != 200 or len(reply.body) != block_range.block_bytes:
            raise S3Error("InternalError", "a block of the object is missing or cut short")
        return reply.body[block_range.begin : block_range.end]

    async def write(
        self, request: ObjectRequest, operation: ObjectOperation, block: str, body: bytes
    ) -> StoreState:
        """Write a block by the client's deadline.

        Returns:
            COMPLETE; OPEN if no chunk server can have executed the write; otherwise UNCERTAIN.
        """
        answer = await self._request_block(request, operation, block, body, request.deadline_us)
        if answer.kind is AnswerKind.SERVED:
            return StoreState.COMPLETE
        return StoreState.UNCERTAIN if answer.may_have_run else StoreState.OPEN

    async def store_part(
        self, request: ObjectRequest, operation: ObjectOperation, part: UploadPart, body: bytes
    ) -> StoreState:
        """Write the blocks of a part that are not stored yet, `max_parallel_blocks` at a time.

        A block that may have been stored is never written again.

        Returns:
            COMPLETE; OPEN if blocks are missing and none of their writes can have been executed; UNCERTAIN if
            one of them may have been.
        """
        block_count = -(-len(body) // self.config.block_bytes)
        missing = [number for number in range(block_count) if not part.stored_blocks_mask >> number & 1]
        part.state = StoreState.IN_PROGRESS
        state = StoreState.UNCERTAIN  # the result if this task is cancelled
        try:
            state = await self._store_blocks(request, operation, part, body, missing)
            return state
        finally:
            part.state = state
            for waiting in part.waiting_retries:
                set_result_if_pending(waiting, True)

    async def _store_blocks(
        self,
        request: ObjectRequest,
        operation: ObjectOperation,
        part: UploadPart,
        body: bytes,
        numbers: list[int],
    ) -> StoreState:
        for first in range(0, len(numbers), self.config.max_parallel_blocks):
            batch = numbers[first : first + self.config.max_parallel_blocks]
            writes = [self._store_block(request, operation, part, number, body) for number in batch]
            states = await asyncio.gather(*writes)
            for number, state in zip(batch, states, strict=True):
                if state is StoreState.COMPLETE:
                    part.stored_blocks_mask |= 1 << number
            if StoreState.UNCERTAIN in states:
                return StoreState.UNCERTAIN
            if StoreState.OPEN in states:
                return StoreState.OPEN
        return StoreState.COMPLETE

    async def _store_block(
        self, request: ObjectRequest, operation: ObjectOperation, part: UploadPart, number: int, body: bytes
    ) -> StoreState:
        content = body[number * self.config.block_bytes : (number + 1) * self.config.block_bytes]
        return await self.write(request, operation, hashed_name(part.nonce, str(number)), content)

    async def read_manifest(self, request: ObjectRequest) -> Manifest | None:
        """Return the manifest of the object; None if the object does not exist or was deleted.

        Raises:
            S3Error: it could not be read, is malformed, or is the manifest of another object.
        """
        block = hashed_name("manifest", request.bucket, request.key)
        reply = await self.read(request, self.config.read, block, request.deadline_us)
        if reply.status == 404:
            return None
        try:
            manifest = Manifest.from_bytes(reply.body)
        except (ValueError, KeyError, TypeError):
            raise S3Error("InternalError", "the object's manifest can't be read") from None
        if manifest is not None and (manifest.bucket, manifest.key) != (request.bucket, request.key):
            raise S3Error("InternalError", "the manifest is another object's")
        return manifest

    async def write_manifest(
        self, request: ObjectRequest, operation: ObjectOperation, stored: bytes
    ) -> StoreState:
        """Write the stored form of the object's manifest; the result is that of `write`.

        Raises:
            S3Error: the manifest is too large.
        """
        if len(stored) > MAX_BODY_BYTES:
            raise S3Error("InvalidRequest", "the object has more parts than its manifest can hold")
        block = hashed_name("manifest", request.bucket, request.key)
        return await self.write(request, operation, block, stored)

    async def _request_block(
        self,
        request: ObjectRequest,
        operation: ObjectOperation,
        block: str,
        body: bytes | None,
        deadline_us: int,
    ) -> Answer:
        """Send one chunk server request: a write if it has a body, else a read."""
        if request.client_has_left:
            return Answer(AnswerKind.REJECTED, reason="its client left")
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        block_request = self._block_request(request, operation, block, body, deadline_us)
        in_flight = self.lifecycle.accept(
            block_request, lambda answer: set_result_if_pending(answered, answer)
        )
        request.open_block_requests.add(in_flight)
        try:
            return await answered
        except asyncio.CancelledError:
            self.lifecycle.on_client_disconnected(in_flight)
            raise
        finally:
            request.open_block_requests.discard(in_flight)

    def _block_request(
        self,
        request: ObjectRequest,
        operation: ObjectOperation,
        block: str,
        body: bytes | None,
        deadline_us: int,
    ) -> IncomingRequest:
        config = self.config
        settings = self.lifecycle.settings
        request_class = self.lifecycle.classes[operation.class_name]
        volume = hashed_name("volume", request.bucket)
        shard = int(hashed_name("shard", request.bucket, request.key), 16) % config.shard_count
        size_bytes = config.block_bytes if body is None else len(body)
        max_units = int(settings.max_request_units) or 1
        units = min(max(math.ceil(size_bytes / config.unit_bytes), 1), max_units)
        call_id = hashed_name("call", self.incarnation, str(self.next_number()))
        outgoing = OutgoingRequest(
            b"GET" if body is None else b"PUT",
            f"/{quote(operation.class_name)}?block={block}".encode(),
            [
                b"X-Call-Id: " + call_id.encode(),
                b"X-Plan: " + request.plan.encode(),
                f"X-IO: volume={volume},units={units},shard={shard},hosts={settings.front_count}".encode(),
            ],
            body or b"",
            READ_SERVED_STATUS if body is None else WRITE_SERVED_STATUS,
        )
        return IncomingRequest(
            class_name=operation.class_name,
            plan=request.plan,
            volume=volume,
            key=block,
            shard=shard,
            units=units,
            deadline_us=min(deadline_us, self.lifecycle.clock() + request_class.timeout_us),
            payload=outgoing,
            volume_front_count=settings.front_count,
            check_disconnect=request.conn.check_disconnected,
            waits_for_response=request.response_has_begun,
        )
