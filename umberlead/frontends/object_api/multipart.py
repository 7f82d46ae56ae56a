"""The operations of multipart uploads: create, upload a part, complete and abort."""

import asyncio
import hashlib
from urllib.parse import quote

from umberlead.configuration import ObjectApiConfig
from umberlead.frontends.object_api.blocks import BlockStore, set_result_if_pending
from umberlead.frontends.object_api.errors import S3Error, uncertain_part_error
from umberlead.frontends.object_api.manifest import Manifest
from umberlead.frontends.object_api.requests import ObjectRequest
from umberlead.frontends.object_api.s3_messages import CompletedPart, parse_completed_parts, xml_document
from umberlead.frontends.object_api.uploads import (
    MultipartUpload,
    StoreState,
    UploadPart,
    UploadRegistry,
)
from umberlead.frontends.object_api.writes import stored_headers, verified_body
from umberlead.requests.lifecycle import RequestLifecycle


def _send_xml(request: ObjectRequest, document: bytes) -> None:
    request.conn.send_response(200, (b"Content-Type: application/xml",), document)


class MultipartWriter:
    """Serves the operations of multipart uploads."""

    def __init__(
        self,
        config: ObjectApiConfig,
        lifecycle: RequestLifecycle,
        blocks: BlockStore,
        uploads: UploadRegistry,
    ) -> None:
        """Create the handlers.

        Args:
            config: the object API's configuration.
            lifecycle: provides the clock, timers and counters.
            blocks: writes blocks and manifests.
            uploads: the registry of uploads of this process.
        """
        self.config = config
        self.lifecycle = lifecycle
        self.blocks = blocks
        self.uploads = uploads

    def _find_upload(self, request: ObjectRequest) -> MultipartUpload:
        return self.uploads.find(request.query["uploadId"], request.bucket, request.key)

    async def create(self, request: ObjectRequest) -> None:
        """Create an upload.

        Raises:
            S3Error: too many uploads are open, or the metadata is too large.
        """
        upload = self.uploads.create(request.bucket, request.key, stored_headers(request))
        fields = {"Bucket": request.bucket, "Key": request.key, "UploadId": upload.upload_id}
        _send_xml(request, xml_document("InitiateMultipartUploadResult", fields))

    async def upload_part(self, request: ObjectRequest) -> None:
        """Store a part; if an earlier request has stored it, only answer.

        Raises:
            S3Error: the part was not stored, or it is uncertain whether it was.
        """
        body, md5_hex = verified_body(request)
        part_number = request.query["partNumber"]
        if not part_number.isascii() or not part_number.isdigit():
            raise S3Error("InvalidArgument", "partNumber must be a number")
        number = int(part_number)
        upload = self._find_upload(request)
        part = self.uploads.prepare_part(upload, number, md5_hex, len(body))
        while part.state is StoreState.IN_PROGRESS and await self._wait_for_earlier_request(request, part):
            part = self.uploads.prepare_part(upload, number, md5_hex, len(body))
        if part.state is StoreState.IN_PROGRESS:
            raise S3Error("OperationAborted", f"part {number} is being stored by an earlier request")
        if part.state is StoreState.COMPLETE:
            self.lifecycle.counters.add("objects_parts_answered_from_ledger")
        else:
            state = await self.blocks.store_part(request, self.config.upload, part, body)
            if state is StoreState.UNCERTAIN:
                raise uncertain_part_error(number)
            if state is StoreState.OPEN:  # a retry writes only the blocks that are missing
                raise S3Error("SlowDown", f"part {number} is not stored yet")
        request.conn.send_response(200, (b'ETag: "%s"' % md5_hex.encode(),), b"")

    async def _wait_for_earlier_request(self, request: ObjectRequest, part: UploadPart) -> bool:
        """Wait for the earlier request that stores the part; return False at this request's deadline."""
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        part.waiting_retries.append(ended)
        timer = self.lifecycle.wheel.call_at(request.deadline_us, set_result_if_pending, ended, False)
        try:
            return await ended
        finally:
            timer.cancel()
            part.waiting_retries = [waiting for waiting in part.waiting_retries if waiting is not ended]

    async def complete(self, request: ObjectRequest) -> None:
        """Write the manifest of the upload's object; if an earlier request has written it, only answer.

        Raises:
            S3Error: the manifest was not written, or it is uncertain whether it was.
        """
        upload = self._find_upload(request)
        completed_parts = parse_completed_parts(request.http_request.body)
        if upload.state is StoreState.IN_PROGRESS:
            raise S3Error("OperationAborted", "the upload is being completed by an earlier request")
        if upload.state is StoreState.OPEN:
            await self._write_manifest(request, upload, completed_parts)
        elif completed_parts != upload.completed_parts:
            raise S3Error("InvalidPart", "the upload was completed with other parts")
        elif upload.state is StoreState.UNCERTAIN:
            await self._check_manifest(request, upload)
        if upload.state is StoreState.OPEN:
            raise S3Error("SlowDown", "the upload is not completed yet")
        if upload.state is not StoreState.COMPLETE:
            raise S3Error("OperationAborted", "the upload may have been completed: read the object to see")
        upload.parts.clear()
        fields = {
            "Location": f"/{request.bucket}/{quote(request.key)}",
            "Bucket": request.bucket,
            "Key": request.key,
            "ETag": f'"{upload.etag}"',
        }
        _send_xml(request, xml_document("CompleteMultipartUploadResult", fields))

    async def _write_manifest(
        self, request: ObjectRequest, upload: MultipartUpload, completed_parts: list[CompletedPart]
    ) -> None:
        manifest = self._assemble_manifest(upload, completed_parts)
        upload.completed_parts = completed_parts
        upload.etag = manifest.etag
        upload.state = StoreState.IN_PROGRESS
        state = StoreState.UNCERTAIN  # the result if this task is cancelled
        try:
            state = await self.blocks.write_manifest(request, self.config.upload, manifest.to_bytes())
        finally:
            upload.state = state

    async def _check_manifest(self, request: ObjectRequest, upload: MultipartUpload) -> None:
        """Read the manifest to see whether an uncertain write succeeded; it is not safe to write it again."""
        manifest = await self.blocks.read_manifest(request)
        if manifest is not None and manifest.upload_id == upload.upload_id:
            upload.state = StoreState.COMPLETE

    def _assemble_manifest(self, upload: MultipartUpload, completed_parts: list[CompletedPart]) -> Manifest:
        numbers = [number for number, _ in completed_parts]
        if numbers != sorted(set(numbers)):
            raise S3Error("InvalidPartOrder", "part numbers must rise")
        parts = []
        for number, etag in completed_parts:
            part = upload.parts.get(number)
            if part is None or part.state is not StoreState.COMPLETE or part.md5_hex != etag:
                raise S3Error("InvalidPart", f"part {number} is not stored with this ETag")
            parts.append(part)
        size_bytes = sum(part.size_bytes for part in parts)
        if size_bytes > self.config.max_object_bytes:
            raise S3Error("EntityTooLarge", f"an object may have {self.config.max_object_bytes} bytes")
        digests = b"".join(bytes.fromhex(part.md5_hex) for part in parts)
        md5 = hashlib.md5(digests, usedforsecurity=False)
        return Manifest(
            bucket=upload.bucket,
            key=upload.key,
            size_bytes=size_bytes,
            etag=f"{md5.hexdigest()}-{len(parts)}",
            modified_seconds=self.lifecycle.clock() // 1_000_000,
            block_bytes=self.config.block_bytes,
            parts=[(part.nonce, part.size_bytes) for part in parts if part.size_bytes],
            headers=upload.headers,
            upload_id=upload.upload_id,
        )

    async def abort(self, request: ObjectRequest) -> None:
        """Abort an upload.

        Raises:
            S3Error: the upload is being completed.
        """
        upload = self._find_upload(request)
        if upload.state is StoreState.IN_PROGRESS:
            raise S3Error("OperationAborted", "the upload is being completed")
        self.uploads.remove(upload)
        request.conn.send_response(204, (), b"")
