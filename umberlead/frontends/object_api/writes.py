"""PUT and DELETE of objects."""

import base64
import hashlib
from typing import NamedTuple

from umberlead.configuration import ObjectApiConfig
from umberlead.frontends.object_api.blocks import BlockStore
from umberlead.frontends.object_api.errors import S3Error
from umberlead.frontends.object_api.manifest import DELETED_MANIFEST, Manifest
from umberlead.frontends.object_api.reads import DEFAULT_CONTENT_TYPE
from umberlead.frontends.object_api.requests import ObjectRequest
from umberlead.frontends.object_api.uploads import StoreState, UploadPart, UploadRegistry
from umberlead.requests.lifecycle import RequestLifecycle

MAX_METADATA_BYTES = 2048  # of a client's own x-amz-meta- header fields


class VerifiedBody(NamedTuple):
    """A request's body.

    Attributes:
        content: its bytes.
        md5_hex: its MD5 digest, in hexadecimal digits.
    """

    content: bytes
    md5_hex: str


def verified_body(request: ObjectRequest) -> VerifiedBody:
    """Return the request's body, and check the digest that the client may give.

    Raises:
        S3Error: its Content-MD5 does not match.
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
        S3Error: they are too long.
    """
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in request.http_request.headers.items()
    }
    metadata = {name: value for name, value in headers.items() if name.startswith("x-amz-meta-")}
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
            lifecycle: gives the clock.
            blocks: writes blocks and manifests.
            uploads: gives names for new blocks.
        """
        self.config = config
        self.lifecycle = lifecycle
        self.blocks = blocks
        self.uploads = uploads

    async def put(self, request: ObjectRequest) -> None:
        """Store an object.

        Raises:
            S3Error: it was not stored, or may not have been.
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
        # Blocks without a manifest are no object: a retry is harmless, and writes other blocks.
        raise S3Error("SlowDown", "the object was not stored")

    async def delete(self, request: ObjectRequest) -> None:
        """Replace the object's manifest; the chunk servers' protocol has no way to free blocks.

        Raises:
            S3Error: it was not deleted, or may not have been.
        """
        state = await self.blocks.write_manifest(request, self.config.write, DELETED_MANIFEST)
        if state is StoreState.OPEN:
            raise S3Error("SlowDown", "the object was not deleted")
        if state is StoreState.UNCERTAIN:
            raise S3Error("InternalError", "the object may have been deleted: read it to see")
        request.conn.send_response(204, (), b"")
