"""The call ids of open and recent requests of all processes of a front, in a file that they share.

The file is a hash table of fixed size. A process that receives a request looks its id up and adds it within
one critical section, which covers only the bucket of that id and never blocks: if another process is in the
section, or was stopped in it, the id is undecided and the request is to be rejected before anything is sent.
The kernel ends the section of a process that is killed. The ids of a process that has ended stay reserved
as long as those of a running one.

Times are CLOCK_MONOTONIC, which all processes of a machine share; the file's name contains the boot id.
"""

import contextlib
import fcntl
import hashlib
import os
import struct
import time
from collections.abc import Callable
from pathlib import Path

from umberlead.handover.boot_id import read_boot_id
from umberlead.handover.process_registry import FILE_MODE
from umberlead.requests.call_ids import RETENTION_US, Reservation

FILE_NAME_PREFIX = "call-ids.1."  # 1 is the version of the layout; the boot id follows
BUCKET_COUNT = 4096
BUCKET_SLOT_COUNT = 8
SLOT_STRUCT = struct.Struct("<QQ")  # digest of the id (0: unused), end of the request's time in us
BUCKET_STRUCT = struct.Struct(f"<{2 * BUCKET_SLOT_COUNT}Q")
FILE_BYTES = BUCKET_COUNT * BUCKET_STRUCT.size
DIGEST_BYTES = 8
# A slot whose time ends later than this can't have been written by a process of a front.
MAX_OPEN_US = 3_600_000_000


def monotonic_us() -> int:
    """Return the time of the clock that all processes of this machine share, in microseconds."""
    return time.monotonic_ns() // 1000


def digest_of(call_id: bytes) -> int:
    """Return the digest that stands for a call id in the table; never 0."""
    return int.from_bytes(hashlib.blake2b(call_id, digest_size=DIGEST_BYTES).digest(), "little") or 1


class SharedCallIds:
    """The table as one process sees it.

    Attributes:
        error: why the table can't be used now; "" if it can be, or if it was not opened yet.
        failure_count: number of reservations that failed because the table could not be used.
    """

    def __init__(self, folder: Path | None, clock: Callable[[], int] = monotonic_us) -> None:
        """Prepare the table in `folder`, without opening it; None if no state is shared.

        `clock` returns microseconds, the same for all processes.
        """
        self.error = ""
        self.failure_count = 0
        self._folder = folder
        self._clock = clock
        self._descriptor = -1
        self._is_closed = False

    def open(self) -> None:
        """Open the table, and create it if it does not exist; may be repeated, and reopens it after an error.

        All of its disk space is allocated, so that later writes don't fail on a full disk.
        """
        if self._folder is None or self._is_closed or (self._descriptor >= 0 and not self.error):
            return
        self._close_descriptor()
        name = FILE_NAME_PREFIX + read_boot_id().decode("ascii", "replace")
        descriptor = -1
        try:
            descriptor = os.open(self._folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
            if os.fstat(descriptor).st_size < FILE_BYTES:
                os.posix_fallocate(descriptor, 0, FILE_BYTES)  # keeps what another process has written
        except OSError as error:
            self.error = str(error)
            if descriptor >= 0:
                os.close(descriptor)
            return
        self.error = ""
        self._descriptor = descriptor
        self._remove_files_of_earlier_boots(self._folder, name)

    @staticmethod
    def _remove_files_of_earlier_boots(folder: Path, current_name: str) -> None:
        with contextlib.suppress(OSError):
            for name in os.listdir(folder):
                if name.startswith(FILE_NAME_PREFIX) and name != current_name:
                    os.unlink(folder / name)

    def reserve(self, call_id: bytes, open_for_us: int) -> Reservation:
        """Reserve a call id.

        Args:
            call_id: the id of a request that was just received.
            open_for_us: the time within which the request is answered.
        """
        if self._descriptor < 0:
            return Reservation.UNAVAILABLE
        digest = digest_of(call_id)
        offset = digest % BUCKET_COUNT * BUCKET_STRUCT.size
        try:
            fcntl.lockf(
                self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, BUCKET_STRUCT.size, offset, os.SEEK_SET
            )
        except (BlockingIOError, PermissionError):  # POSIX allows either for a lock that is taken
            return Reservation.UNDECIDED
        except OSError as error:
            return self._record_failure(error)
        try:
            return self._reserve_in_bucket(digest, offset, max(open_for_us, 0))
        except OSError as error:
            return self._record_failure(error)
        finally:
            with contextlib.suppress(OSError):
                fcntl.lockf(self._descriptor, fcntl.LOCK_UN, BUCKET_STRUCT.size, offset, os.SEEK_SET)

    def _reserve_in_bucket(self, digest: int, offset: int, open_for_us: int) -> Reservation:
        data = os.pread(self._descriptor, BUCKET_STRUCT.size, offset)
        if len(data) < BUCKET_STRUCT.size:
            raise OSError("the table of call ids was truncated")
        now_us = self._clock()
        fields = BUCKET_STRUCT.unpack(data)
        reusable_slot = None
        reusable_end_us = now_us  # a slot that is reused has an end before this: its request is not open
        for slot in range(BUCKET_SLOT_COUNT):
            end_us = fields[2 * slot + 1]
            if end_us > now_us + MAX_OPEN_US:
                end_us = 0
            if fields[2 * slot] == digest and end_us + RETENTION_US > now_us:
                return Reservation.DUPLICATE
            if end_us < reusable_end_us:
                reusable_slot = slot
                reusable_end_us = end_us
        if reusable_slot is None:
            return Reservation.UNDECIDED
        entry = SLOT_STRUCT.pack(digest, now_us + min(open_for_us, MAX_OPEN_US))
        if os.pwrite(self._descriptor, entry, offset + reusable_slot * SLOT_STRUCT.size) < len(entry):
            raise OSError("an entry of the table of call ids was written in part")
        return Reservation.RESERVED

    def _record_failure(self, error: OSError) -> Reservation:
        self.error = str(error)
        self.failure_count += 1
        return Reservation.UNAVAILABLE

    def close(self) -> None:
        """Close the file for good; its ids stay reserved."""
        self._is_closed = True
        self._close_descriptor()

    def _close_descriptor(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
