"""The ledger of multipart uploads: what became of every part, so that none that may have been stored is ever
sent again, whatever its client retries.

It is bounded by uploads and by parts in each. An upload's id names the front and the moment of its start:
one that another front, or an earlier life of this one, gave out stands in no ledger here and is refused."""

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from umberlead.frontends.object_api.s3_messages import S3Error


class StoreState(Enum):
    OPEN = "open"  # nothing of it is out, and nothing is in doubt
    IN_PROGRESS = "busy"
    COMPLETE = "done"
    UNCERTAIN = "doubtful"  # an attempt may have run without telling


@dataclass(slots=True)
class UploadPart:
    md5_hex: str
    size_bytes: int
    nonce: str
    state: StoreState = StoreState.OPEN
    waiting_retries: list[asyncio.Future[bool]] = field(default_factory=list)  # retries that wait for its end
    stored_blocks_mask: int = 0  # a bit for each block known to be stored


@dataclass(slots=True)
class MultipartUpload:
    upload_id: str
    bucket: str
    key: str
    headers: dict[str, str]
    touched_us: int
    parts: dict[int, UploadPart] = field(default_factory=dict)
    state: StoreState = StoreState.OPEN
    etag: str = ""
    completed_parts: list[tuple[int, str]] = field(default_factory=list)


class UploadRegistry:
    def __init__(
        self,
        front_name: str,
        clock: Callable[[], int],
        max_uploads: int,
        max_parts_per_upload: int,
        idle_timeout_us: int,
    ) -> None:
        self.clock, self.max_uploads, self.max_parts_per_upload, self.idle_timeout_us = (
            clock,
            max_uploads,
            max_parts_per_upload,
            idle_timeout_us,
        )
        name = hashlib.blake2b(front_name.encode(), digest_size=4).hexdigest()
        self.incarnation = f"{name}-{clock():x}"  # the front and its start
        self.uploads: dict[str, MultipartUpload] = {}
        self.created_count = 0

    def new_nonce(self) -> str:
        """A name never used before: two fronts that start alike must not write the same blocks."""
        return secrets.token_hex(12)

    def create(self, bucket: str, key: str, headers: dict[str, str], retry_after_us: int) -> MultipartUpload:
        self.expire_idle()
        # Complete ones are only kept to answer a retried completion: once out, their ids are refused.
        complete = [u for u in self.uploads.values() if u.state is StoreState.COMPLETE]
        if len(self.uploads) >= self.max_uploads and complete:
            del self.uploads[min(complete, key=lambda u: u.touched_us).upload_id]
        if len(self.uploads) >= self.max_uploads:
            raise S3Error("SlowDown", "too many uploads are open at this front", retry_after_us)
        self.created_count += 1
        made = MultipartUpload(
            f"{self.incarnation}-{self.created_count}-{self.new_nonce()}", bucket, key, headers, self.clock()
        )
        self.uploads[made.upload_id] = made
        return made

    def find(self, upload_id: str, bucket: str, key: str) -> MultipartUpload:
        upload = self.uploads.get(upload_id)
        if upload is None or (upload.bucket, upload.key) != (bucket, key):
            ours = upload_id.startswith(self.incarnation + "-")
            why = "it is over" if ours else "another front made it, or an earlier life of this one"
            raise S3Error("NoSuchUpload", f"this front does not hold the upload: {why}")
        upload.touched_us = self.clock()
        return upload

    def prepare_part(self, upload: MultipartUpload, number: int, md5_hex: str, size_bytes: int) -> UploadPart:
        """The part, ready to be sent, busy or done; an error if it must not go out."""
        if upload.state is not StoreState.OPEN:
            raise S3Error("OperationAborted", "the upload is being completed, or is complete")
        if not 1 <= number <= self.max_parts_per_upload:
            raise S3Error("InvalidArgument", f"part numbers run from 1 to {self.max_parts_per_upload} here")
        part = upload.parts.get(number)
        if part is None:
            part = upload.parts[number] = UploadPart(md5_hex, size_bytes, self.new_nonce())
        elif part.state is StoreState.UNCERTAIN:
            raise uncertain_part_error(number)
        elif (part.md5_hex, part.size_bytes) != (md5_hex, size_bytes):
            if part.state is not StoreState.OPEN or part.stored_blocks_mask:
                raise S3Error("OperationAborted", f"part {number} holds other content: use another number")
            part = upload.parts[number] = UploadPart(
                md5_hex, size_bytes, self.new_nonce()
            )  # nothing of the old one ran
        return part

    def expire_idle(self) -> None:
        """Uploads that nobody has touched for long go; from then on their ids are refused."""
        old = self.clock() - self.idle_timeout_us
        for upload in list(self.uploads.values()):
            busy = upload.state is StoreState.IN_PROGRESS or any(
                p.state is StoreState.IN_PROGRESS for p in upload.parts.values()
            )
            if upload.touched_us <= old and not busy:
                del self.uploads[upload.upload_id]


def uncertain_part_error(number: int) -> S3Error:
    return S3Error(
        "OperationAborted",
        f"part {number} may have been stored in part or whole; it is not sent again: abort the upload, "
        "or store the content under another part number",
    )
