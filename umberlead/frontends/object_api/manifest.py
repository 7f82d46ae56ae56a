"""Manifests: which blocks make up an object, and how that is stored.

The stored form is JSON. Its names are those of `STORED_NAMES`, whatever the fields are called here, and its
version is `STORED_VERSION_NUMBER`.
"""

import hashlib
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from umberlead.frontends.object_api.errors import ManifestFormatError

STORED_VERSION_NUMBER = 1
STORED_NAMES = {  # in the order in which they are stored
    "bucket": "bucket",
    "key": "key",
    "size_bytes": "size",
    "etag": "etag",
    "modified_seconds": "modified",
    "block_bytes": "block",
    "parts": "parts",
    "headers": "headers",
    "upload_id": "upload",
}
FIELD_NAMES = {stored: name for name, stored in STORED_NAMES.items()}
DELETED_MANIFEST = b'{"v": 1, "deleted": true}'  # stands in the place of a deleted object's manifest


def hashed_name(*components: str) -> str:
    """Return the 16 hexadecimal digits that name a block, volume or shard, from what identifies it."""
    return hashlib.blake2b("\0".join(components).encode(), digest_size=8).hexdigest()


class BlockRange(NamedTuple):
    """A range of bytes within one block.

    Attributes:
        block: the block's name.
        begin: the first byte.
        end: the byte after the last one.
        block_bytes: the size of the complete block.
    """

    block: str
    begin: int
    end: int
    block_bytes: int


@dataclass(slots=True)
class Manifest:
    """What an object consists of.

    Attributes:
        bucket: its bucket.
        key: its key.
        size_bytes: its size.
        etag: its entity tag, without quotes.
        modified_seconds: when it was stored, in Unix seconds.
        block_bytes: the size of a block; the last one of a part may be shorter.
        parts: nonce and size of each part, in order; the nonce goes into the names of its blocks.
        headers: the header fields that are stored with it, by names in lower case.
        upload_id: the multipart upload that made it, empty for an object that was stored in one request.
    """

    bucket: str
    key: str
    size_bytes: int
    etag: str
    modified_seconds: int
    block_bytes: int
    parts: list[tuple[str, int]]
    headers: dict[str, str] = field(default_factory=dict)
    upload_id: str = ""

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        fields = {stored: getattr(self, name) for name, stored in STORED_NAMES.items()}
        return json.dumps({"v": STORED_VERSION_NUMBER} | fields).encode()

    @classmethod
    def from_bytes(cls, body: bytes) -> "Manifest | None":
        """Read the stored form; None stands for a deleted object.

        Raises:
            ManifestFormatError: it has another version.
            ValueError: it is no JSON.
            KeyError: a name is missing or unknown.
            TypeError: a value is missing or has the wrong type.
        """
        stored = json.loads(body)
        if stored.pop("v") != STORED_VERSION_NUMBER:
            raise ManifestFormatError("unknown version")
        if stored.get("deleted"):
            return None
        stored["parts"] = [(str(nonce), int(size_bytes)) for nonce, size_bytes in stored["parts"]]
        return cls(**{FIELD_NAMES[name]: value for name, value in stored.items()})

    def block_ranges(self, begin: int, end: int) -> Iterator[BlockRange]:
        """Return the ranges of blocks that hold the object's bytes from `begin` up to `end`, in order."""
        part_begin = 0
        for nonce, size_bytes in self.parts:
            part_end = part_begin + size_bytes
            if part_begin < end and part_end > begin:
                first_block = max(begin - part_begin, 0) // self.block_bytes
                end_block = -(-min(end - part_begin, size_bytes) // self.block_bytes)
                for number in range(first_block, end_block):
                    block_begin = part_begin + number * self.block_bytes
                    block_bytes = min(self.block_bytes, part_end - block_begin)
                    yield BlockRange(
                        hashed_name(nonce, str(number)),
                        max(begin - block_begin, 0),
                        min(end - block_begin, block_bytes),
                        block_bytes,
                    )
            part_begin = part_end
