"""PUT and DELETE of objects."""

import base64
import hashlib
from typing import NamedTuple

from umberlead.configuration import ObjectApiConfig
from umberlead.frontends.object_api.blocks import BlockStore
from umberlead.frontends.object_api.errors import S3Error
from umberlead.frontends.object_api.manifest import DELETED_MANIFEST, Manifest
from umberlead.frontends.object_api.reads import DEFAULT_CONTENT_TYPE
from umberlead.frontends.object_api.requests import METADATA_HEADER_PREFIX, ObjectRequest
from umberlead.frontends.object_api.uploads import StoreState, UploadPart, UploadRegistry
from umberlead.requests.lifecycle import RequestLifecycle

MAX_METADATA_BYTES = 2048  # of the x-amz-meta- header fields of a request


class VerifiedBody(NamedTuple):
    """A request's body and its digest.

    Attributes:
        content: the bytes.
        md5_hex: the MD5 digest, in hexadecimal digits.
    """

    content: bytes
    md5_hex: str


def verified_body(request: ObjectRequest) -> VerifiedBody:
    """Return the request's body after checking it against Content-MD5, if the client sends that.

    Raises:
        S3Error: Content-MD5 does not match the body.
    """
    body = request.http_request.body
    md5 = hashlib.md5(body, usedforsecurity=False)
    content_md5 = request.header(b"content-md5")
    if content_md5 and content_md5 != base64.b64encode(md5.digest()).decode():
        raise S3Error("BadDigest", "Content-MD5 does not match the body")
    return VerifiedBody(body, md5.hexdigest())


def stored_headers(request: ObjectRequest) -> dict[str, str]:
    """Return the header fields that are stored with an object.

    Raises:
        S3Error: the metadata is too large.
    """
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in request.http_request.headers.items()
    }
    metadata = {name: value for name, value in headers.items() if name.startswith(METADATA_HEADER_PREFIX)}
    if sum(len(name) + len(value) for name, value in metadata.items()) > MAX_METADATA_BYTES:
        raise S3Error("InvalidArgument", f"metadata may have {MAX_METADATA_BYTES} bytes")
    return {"content-type": headers.get("content-type", DEFAULT_CONTENT_TYPE)} | metadata


class ObjectWriter:
    """Serves PUT and DELETE."""

    def __init__(
        self,
        config: ObjectApiConfig,
        lifecycle: RequestLifecycle,
        blocks: BlockStore,
        uploads: UploadRegistry,
    ) -> None:
        """Create a writer.

        Args:
            config: the object API's configuration.
            lifecycle: provides the clock.
            blocks: writes blocks and manifests.
            uploads: provides nonces for the names of new blocks.
        """
        self.config = config
        self.lifecycle = lifecycle
        self.blocks = blocks
        self.uploads = uploads

    async def put(self, request: ObjectRequest) -> None:
        """Store an object.

        Raises:
            S3Error: the object was not stored, or it is uncertain whether it was.
        """
        body, md5_hex = verified_body(request)
        headers = stored_headers(request)
        part = UploadPart(md5_hex, len(body), self.uploads.new_nonce())
        operation = self.config.write
        state = await self.blocks.store_part(request, operation, part, body)
        if state is StoreState.COMPLETE:
            manifest = Manifest(
                bucket=request.bucket,
                key=request.key,
                size_bytes=len(body),
                etag=md5_hex,
                modified_seconds=self.lifecycle.clock() // 1_000_000,
                block_bytes=self.config.block_bytes,
                parts=[(part.nonce, len(body))] if body else [],
                headers=headers,
            )
            state = await self.blocks.write_manifest(request, operation, manifest.to_bytes())
            if state is StoreState.COMPLETE:
                request.conn.send_response(200, (b'ETag: "%s"' % md5_hex.encode(),), b"")
                return
            if state is StoreState.UNCERTAIN:
                raise S3Error("InternalError", "the object may have been stored: read it to see")
        # Without a manifest the blocks are not visible as an object. A retry is safe: it writes new blocks.
        raise S3Error("SlowDown", "the object was not stored")

    async def delete(self, request: ObjectRequest) -> None:
        """Delete an object by replacing its manifest; the chunk servers' protocol has no way to free blocks.

        Raises:
            S3Error: the object was not deleted, or it is uncertain whether it was.
        """
        state = await self.blocks.write_manifest(request, self.config.write, DELETED_MANIFEST)
        if state is StoreState.OPEN:
            raise S3Error("SlowDown", "the object was not deleted")
        if state is StoreState.UNCERTAIN:
            raise S3Error("InternalError", "the object may have been deleted: read it to see")
        request.conn.send_response(204, (), b"")
