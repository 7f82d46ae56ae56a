"""Reads a whole regular file and never blocks on anything else that a path may lead to."""

import os
import stat
from pathlib import Path

from umberlead.common.errors import UmberleadError

READ_SIZE_BYTES = 1 << 20


class NotRegularFileError(UmberleadError, OSError):
    """The path leads to a folder, a pipe, a socket or a device."""

    def __init__(self, path: str | Path) -> None:
        """Name the path in the message."""
        super().__init__(f"{path} is not a regular file")


def read_regular_file(path: str | Path, max_bytes: int) -> bytes:
    """Return the content of a file, of which no more than `max_bytes` are read.

    Anything but a regular file is not even opened, as that may wait or have an effect. The file is opened
    without waiting all the same: something else may take its place, and some files of the kernel wait for
    content.

    Raises:
        NotRegularFileError: The path leads to something other than a regular file.
        OSError: The file can't be opened or read.
        ValueError: The path has a NUL byte, or the file system's encoding can't express it.
    """
    if not stat.S_ISREG(os.stat(path).st_mode):
        raise NotRegularFileError(path)
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC)
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise NotRegularFileError(path)
        parts = []
        remaining_bytes = max_bytes
        while remaining_bytes > 0 and (part := os.read(descriptor, min(remaining_bytes, READ_SIZE_BYTES))):
            parts.append(part)
            remaining_bytes -= len(part)
        return b"".join(parts)
    finally:
        os.close(descriptor)
