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


class State(Enum):
    OPEN = "open"  # nothing of it is out, and nothing is in doubt
    BUSY = "busy"
    DONE = "done"
    DOUBTFUL = "doubtful"  # an attempt may have run without telling


@dataclass(slots=True)
class Part:
    digest: str
    size: int
    nonce: str
    state: State = State.OPEN
    waiting: list[asyncio.Future[bool]] = field(default_factory=list)  # retries that wait for its end
    stored: int = 0  # a bit for each block known to be stored


@dataclass(slots=True)
class Upload:
    id: str
    bucket: str
    key: str
    headers: dict[str, str]
    touched: int
    parts: dict[int, Part] = field(default_factory=dict)
    state: State = State.OPEN
    etag: str = ""
    listed: list[tuple[int, str]] = field(default_factory=list)


class Ledger:
    def __init__(self, front: str, clock: Callable[[], int], most: int, parts_most: int, idle: int) -> None:
        self.clock, self.most, self.parts_most, self.idle = clock, most, parts_most, idle
        name = hashlib.blake2b(front.encode(), digest_size=4).hexdigest()
        self.life = f"{name}-{clock():x}"  # the front and its start
        self.uploads: dict[str, Upload] = {}
        self.count = 0

    def nonce(self) -> str:
        """A name never used before: two fronts that start alike must not write the same blocks."""
        return secrets.token_hex(12)

    def create(self, bucket: str, key: str, headers: dict[str, str], retry_after: int) -> Upload:
        self.expire()
        # Complete ones are only kept to answer a retried completion: once out, their ids are refused.
        complete = [u for u in self.uploads.values() if u.state is State.DONE]
        if len(self.uploads) >= self.most and complete:
            del self.uploads[min(complete, key=lambda u: u.touched).id]
        if len(self.uploads) >= self.most:
            raise S3Error("SlowDown", "too many uploads are open at this front", retry_after)
        self.count += 1
        made = Upload(f"{self.life}-{self.count}-{self.nonce()}", bucket, key, headers, self.clock())
        self.uploads[made.id] = made
        return made

    def find(self, upload_id: str, bucket: str, key: str) -> Upload:
        upload = self.uploads.get(upload_id)
        if upload is None or (upload.bucket, upload.key) != (bucket, key):
            ours = upload_id.startswith(self.life + "-")
            why = "it is over" if ours else "another front made it, or an earlier life of this one"
            raise S3Error("NoSuchUpload", f"this front does not hold the upload: {why}")
        upload.touched = self.clock()
        return upload

    def part(self, upload: Upload, number: int, digest: str, size: int) -> Part:
        """The part, ready to be sent, busy or done; an error if it must not go out."""
        if upload.state is not State.OPEN:
            raise S3Error("OperationAborted", "the upload is being completed, or is complete")
        if not 1 <= number <= self.parts_most:
            raise S3Error("InvalidArgument", f"part numbers run from 1 to {self.parts_most} here")
        part = upload.parts.get(number)
        if part is None:
            part = upload.parts[number] = Part(digest, size, self.nonce())
        elif part.state is State.DOUBTFUL:
            raise doubtful(number)
        elif (part.digest, part.size) != (digest, size):
            if part.state is not State.OPEN or part.stored:
                raise S3Error("OperationAborted", f"part {number} holds other content: use another number")
            part = upload.parts[number] = Part(digest, size, self.nonce())  # nothing of the old one ran
        return part

    def expire(self) -> None:
        """Uploads that nobody has touched for long go; from then on their ids are refused."""
        old = self.clock() - self.idle
        for upload in list(self.uploads.values()):
            busy = upload.state is State.BUSY or any(p.state is State.BUSY for p in upload.parts.values())
            if upload.touched <= old and not busy:
                del self.uploads[upload.id]


def doubtful(number: int) -> S3Error:
    return S3Error(
        "OperationAborted",
        f"part {number} may have been stored in part or whole; it is not sent again: abort the upload, "
        "or store the content under another part number",
    )
