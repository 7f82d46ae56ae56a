"""The registry of multipart uploads: what became of each part.

It keeps any part that may have been stored from being sent again, whatever its client retries. The registry
is bounded by uploads and by parts of each. An upload's id names the front and the time of its start: an id
that another front made, or an earlier incarnation of this one, is in no registry here and is rejected.
"""

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from umberlead.frontends.object_api.errors import S3Error, uncertain_part_error
from umberlead.frontends.object_api.s3_messages import CompletedPart


class StoreState(Enum):
    """How far the storing of a part, of an object or of a whole upload has come."""

    OPEN = "open"  # nothing of it is in flight, and nothing is uncertain
    IN_PROGRESS = "busy"
    COMPLETE = "done"
    UNCERTAIN = "doubtful"  # an attempt may have run without an answer


@dataclass(slots=True)
class UploadPart:
    """A part of an upload, or the content of an object that is stored in one request.

    Attributes:
        md5_hex: the MD5 digest of its content.
        size_bytes: its size.
        nonce: goes into the names of its blocks.
        state: how far its storing has come.
        waiting_retries: of retries that wait for the end of an earlier request; true tells that it ended.
        stored_blocks_mask: a bit for each block that is known to be stored.
    """

    md5_hex: str
    size_bytes: int
    nonce: str
    state: StoreState = StoreState.OPEN
    waiting_retries: list[asyncio.Future[bool]] = field(default_factory=list)
    stored_blocks_mask: int = 0


@dataclass(slots=True)
class MultipartUpload:
    """A multipart upload.

    Attributes:
        upload_id: its id, as clients know it.
        bucket: the object's bucket.
        key: the object's key.
        headers: the header fields that are stored with the object.
        touched_us: when a request last named it.
        parts: its parts, by number.
        state: how far its completion has come.
        etag: the object's entity tag, once the upload is being completed.
        completed_parts: the parts that it is completed with, as its client lists them.
    """

    upload_id: str
    bucket: str
    key: str
    headers: dict[str, str]
    touched_us: int
    parts: dict[int, UploadPart] = field(default_factory=dict)
    state: StoreState = StoreState.OPEN
    etag: str = ""
    completed_parts: list[CompletedPart] = field(default_factory=list)


class UploadRegistry:
    """The multipart uploads of this process."""

    def __init__(
        self,
        front_name: str,
        clock: Callable[[], int],
        max_uploads: int,
        max_parts_per_upload: int,
        idle_timeout_us: int,
    ) -> None:
        """Create an empty registry.

        Args:
            front_name: the front's name.
            clock: gives the time in microseconds.
            max_uploads: how many uploads it holds.
            max_parts_per_upload: the highest number of a part.
            idle_timeout_us: after how long without a request an upload is removed.
        """
        self.clock = clock
        self.max_uploads = max_uploads
        self.max_parts_per_upload = max_parts_per_upload
        self.idle_timeout_us = idle_timeout_us
        hashed_front = hashlib.blake2b(front_name.encode(), digest_size=4).hexdigest()
        self.incarnation = f"{hashed_front}-{clock():x}"  # the front and its start
        self.uploads: dict[str, MultipartUpload] = {}
        self.created_count = 0

    def new_nonce(self) -> str:
        """Return a name never used before: two fronts that start alike must not write the same blocks."""
        return secrets.token_hex(12)

    def create(self, bucket: str, key: str, headers: dict[str, str]) -> MultipartUpload:
        """Add an upload.

        Raises:
            S3Error: too many uploads are open.
        """
        self.expire_idle()
        # Complete ones are only retained to answer a retried completion.
        complete = [upload for upload in self.uploads.values() if upload.state is StoreState.COMPLETE]
        if len(self.uploads) >= self.max_uploads and complete:
            del self.uploads[min(complete, key=lambda upload: upload.touched_us).upload_id]
        if len(self.uploads) >= self.max_uploads:
            raise S3Error("SlowDown", "too many uploads are open at this front")
        self.created_count += 1
        upload_id = f"{self.incarnation}-{self.created_count}-{self.new_nonce()}"
        upload = MultipartUpload(upload_id, bucket, key, headers, self.clock())
        self.uploads[upload_id] = upload
        return upload

    def find(self, upload_id: str, bucket: str, key: str) -> MultipartUpload:
        """Return an upload of this object.

        Raises:
            S3Error: there is none by this id.
        """
        upload = self.uploads.get(upload_id)
        if upload is None or (upload.bucket, upload.key) != (bucket, key):
            own = upload_id.startswith(self.incarnation + "-")
            reason = "it is over" if own else "another front made it, or an earlier life of this one"
            raise S3Error("NoSuchUpload", f"this front does not hold the upload: {reason}")
        upload.touched_us = self.clock()
        return upload

    def remove(self, upload: MultipartUpload) -> None:
        """Remove an upload; from then on its id is rejected."""
        del self.uploads[upload.upload_id]

    def prepare_part(self, upload: MultipartUpload, number: int, md5_hex: str, size_bytes: int) -> UploadPart:
        """Return the part, open, in progress or complete.

        Args:
            upload: its upload.
            number: its number, as the client gives it.
            md5_hex: the MD5 digest of its content.
            size_bytes: its size.

        Raises:
            S3Error: the part must not be sent.
        """
        if upload.state is not StoreState.OPEN:
            raise S3Error("OperationAborted", "the upload is being completed, or is complete")
        if not 1 <= number <= self.max_parts_per_upload:
            raise S3Error("InvalidArgument", f"part numbers run from 1 to {self.max_parts_per_upload} here")
        part = upload.parts.get(number)
        if part is not None and part.state is StoreState.UNCERTAIN:
            raise uncertain_part_error(number)
        if part is not None and (part.md5_hex, part.size_bytes) != (md5_hex, size_bytes):
            if part.state is not StoreState.OPEN or part.stored_blocks_mask:
                raise S3Error("OperationAborted", f"part {number} holds other content: use another number")
            part = None  # nothing of it ran
        if part is None:
            part = upload.parts[number] = UploadPart(md5_hex, size_bytes, self.new_nonce())
        return part

    def expire_idle(self) -> None:
        """Remove uploads that no request has named for long and that nothing of is in progress."""
        expired_us = self.clock() - self.idle_timeout_us
        for upload in list(self.uploads.values()):
            states = (upload.state, *(part.state for part in upload.parts.values()))
            if upload.touched_us <= expired_us and StoreState.IN_PROGRESS not in states:
                del self.uploads[upload.upload_id]
