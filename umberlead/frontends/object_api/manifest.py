"""Manifests, which list the blocks of an object, and their stored form.

A manifest is stored as JSON with the version `STORED_VERSION_NUMBER`. `STORED_NAMES` maps the fields of
`Manifest` to their names in JSON, so that a field can be renamed without a change of the format.
"""

import hashlib
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from umberlead.frontends.object_api.errors import ManifestFormatError

STORED_VERSION_NUMBER = 1
STORED_NAMES = {  # by field, in the order in which they are stored
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
DELETED_MANIFEST = b'{"v": 1, "deleted": true}'  # replaces the manifest of a deleted object


def hashed_name(*components: str) -> str:
    """Return a hash of the components as 16 hexadecimal digits, for a block, volume, shard or call id."""
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
    """The metadata of an object and the parts that it consists of.

    Attributes:
        bucket: the object's bucket.
        key: the object's key.
        size_bytes: the object's size.
        etag: the object's entity tag, without quotes.
        modified_seconds: when the object was stored, in seconds of Unix time.
        block_bytes: the size of a block; the last one of a part may be shorter.
        parts: nonce and size of each part, in order; the names of a part's blocks are derived from its nonce.
        headers: the header fields that are stored with the object, by lower-case name.
        upload_id: the multipart upload that stored the object; empty if one PUT stored it.
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
        """Parse the stored form; return None for a deleted object.

        Raises:
            ManifestFormatError: the version is not `STORED_VERSION_NUMBER`.
            ValueError: the body is not JSON, or a value is invalid.
            KeyError: a name is missing or unknown.
            TypeError: a field is missing or has the wrong type.
        """
        stored = json.loads(body)
        if stored.pop("v") != STORED_VERSION_NUMBER:
            raise ManifestFormatError("unknown version")
        if stored.get("deleted"):
            return None
        stored["parts"] = [(str(nonce), int(size_bytes)) for nonce, size_bytes in stored["parts"]]
        return cls(**{FIELD_NAMES[name]: value for name, value in stored.items()})

    def block_ranges(self, begin: int, end: int) -> Iterator[BlockRange]:
        """Yield, in order, the block ranges that hold the object's bytes from `begin` to `end`, exclusive."""
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
