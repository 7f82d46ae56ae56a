"""The in-memory registry of multipart uploads and the state of their parts.

A part that may have been stored is never sent again, even if the client retries it. The number of uploads and
the number of parts per upload are limited. An upload id contains a hash of the front's name and the time of
this process's start: an id that was issued by another front, or before a restart, is not in the registry and
is rejected.
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
    """How far the storing of a part or of an object, or the completion of an upload, has progressed."""

    OPEN = "open"  # no write is in flight, and none is uncertain
    IN_PROGRESS = "busy"
    COMPLETE = "done"
    UNCERTAIN = "doubtful"  # a write may have been executed, but its result is unknown


@dataclass(slots=True)
class UploadPart:
    """A part of an upload, or the content of an object that is stored in one request.

    Attributes:
        md5_hex: the MD5 digest of the content.
        size_bytes: the size of the content.
        nonce: a random text from which the names of the blocks are derived.
        state: the progress of storing the part.
        waiting_retries: futures of retries that wait for an earlier request to end; it sets them to True.
        stored_blocks_mask: a bit for each block, set if it is known to be stored.
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
        upload_id: the id that clients use.
        bucket: the object's bucket.
        key: the object's key.
        headers: the header fields that are stored with the object.
        last_request_us: when the last request for the upload came.
        parts: the parts, by number.
        state: the progress of the upload's completion.
        etag: the object's entity tag, once the upload is being completed.
        completed_parts: the parts that the client listed in its completion request.
    """

    upload_id: str
    bucket: str
    key: str
    headers: dict[str, str]
    last_request_us: int
    parts: dict[int, UploadPart] = field(default_factory=dict)
    state: StoreState = StoreState.OPEN
    etag: str = ""
    completed_parts: list[CompletedPart] = field(default_factory=list)


class UploadRegistry:
    """The multipart uploads of this process, by upload id."""

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
            clock: returns the time in microseconds.
            max_uploads: the maximum number of uploads.
            max_parts_per_upload: the highest part number.
            idle_timeout_us: the time without a request after which an upload is removed.
        """
        self.clock = clock
        self.max_uploads = max_uploads
        self.max_parts_per_upload = max_parts_per_upload
        self.idle_timeout_us = idle_timeout_us
        hashed_front = hashlib.blake2b(front_name.encode(), digest_size=4).hexdigest()
        self.incarnation = f"{hashed_front}-{clock():x}"  # of the front: its name and its start
        self.uploads: dict[str, MultipartUpload] = {}
        self.created_count = 0

    def new_nonce(self) -> str:
        """Return a random nonce; it is random so that no two fronts ever write blocks of the same name."""
        return secrets.token_hex(12)

    def create(self, bucket: str, key: str, headers: dict[str, str]) -> MultipartUpload:
        """Add an upload.

        Raises:
            S3Error: too many uploads are open.
        """
        self.expire_idle()
        # Complete uploads are retained only to answer retries of their completion.
        complete = [upload for upload in self.uploads.values() if upload.state is StoreState.COMPLETE]
        if len(self.uploads) >= self.max_uploads and complete:
            del self.uploads[min(complete, key=lambda upload: upload.last_request_us).upload_id]
        if len(self.uploads) >= self.max_uploads:
            raise S3Error("SlowDown", "too many uploads are open at this front")
        self.created_count += 1
        upload_id = f"{self.incarnation}-{self.created_count}-{self.new_nonce()}"
        upload = MultipartUpload(upload_id, bucket, key, headers, self.clock())
        self.uploads[upload_id] = upload
        return upload

    def find(self, upload_id: str, bucket: str, key: str) -> MultipartUpload:
        """Return the upload of an object with this id.

        Raises:
            S3Error: there is none.
        """
        upload = self.uploads.get(upload_id)
        if upload is None or (upload.bucket, upload.key) != (bucket, key):
            is_own_id = upload_id.startswith(self.incarnation + "-")
            reason = "it is over" if is_own_id else "another front made it, or an earlier life of this one"
            raise S3Error("NoSuchUpload", f"this front does not hold the upload: {reason}")
        upload.last_request_us = self.clock()
        return upload

    def remove(self, upload: MultipartUpload) -> None:
        """Remove an upload; later requests with its id are rejected."""
        del self.uploads[upload.upload_id]

    def prepare_part(self, upload: MultipartUpload, number: int, md5_hex: str, size_bytes: int) -> UploadPart:
        """Return the part, and add it if it is new; its state is open, in progress or complete.

        Args:
            upload: the upload.
            number: the part number that the client gives.
            md5_hex: the MD5 digest of the content.
            size_bytes: the size of the content.

        Raises:
            S3Error: the part must not be stored.
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
            part = None  # no block of it was stored
        if part is None:
            part = upload.parts[number] = UploadPart(md5_hex, size_bytes, self.new_nonce())
        return part

    def expire_idle(self) -> None:
        """Remove uploads that had no request within the idle timeout and have no write in progress."""
        expired_us = self.clock() - self.idle_timeout_us
        for upload in list(self.uploads.values()):
            states = (upload.state, *(part.state for part in upload.parts.values()))
            if upload.last_request_us <= expired_us and StoreState.IN_PROGRESS not in states:
                del self.uploads[upload.upload_id]
