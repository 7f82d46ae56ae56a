"""The table of call ids that the processes of a front share: what is reserved, by whom, and for how long."""

import fcntl
import os
import signal
import struct
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

import pytest

from tests.test_state_folder import unwritable_disk
from umberlead.handover import shared_call_ids
from umberlead.handover.shared_call_ids import (
    BUCKET_COUNT,
    BUCKET_SLOT_COUNT,
    BUCKET_STRUCT,
    FILE_BYTES,
    FILE_NAME_PREFIX,
    MAX_OPEN_US,
    SLOT_STRUCT,
    SharedCallIds,
    digest_of,
)
from umberlead.handover.shared_state import REGISTRY_FOLDER, SharedState
from umberlead.requests.call_ids import RETENTION_US, RecentCallIds, Reservation
from umberlead.requests.errors import CallIdUndecidedError, DuplicateRequestError

ROOT = Path(__file__).resolve().parent.parent
OPEN_US = 3_000_000
START_US = 50_000_000

# A process that reserves the ids 0, 1, ... in this order, and prints those that it got.
RESERVING_PROCESS = """
import sys
from pathlib import Path
from umberlead.handover.shared_call_ids import SharedCallIds
from umberlead.requests.call_ids import Reservation
ids = SharedCallIds(Path(sys.argv[1]))
ids.open()
print("open", flush=True)
sys.stdin.readline()
for number in range(int(sys.argv[2])):
    if ids.reserve(b"%d" % number, 3_000_000) is Reservation.RESERVED:
        print(number)
"""
# A process that stays in the critical section of the id that it is given.
PROCESS_WITHIN_SECTION = """
import os, sys
from pathlib import Path
from umberlead.handover.shared_call_ids import SharedCallIds
ids = SharedCallIds(Path(sys.argv[1]))
ids.open()
def pread(*_):
    print("within", flush=True)
    sys.stdin.read()
os.pread = pread
ids.reserve(sys.argv[2].encode(), 3_000_000)
"""


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_us = START_US

    def __call__(self) -> int:
        return self.now_us


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def processes(tmp_path: Path, clock: Clock) -> list[SharedCallIds]:
    """The table as three processes see it."""
    tables = [SharedCallIds(tmp_path, clock) for _ in range(3)]
    for table in tables:
        table.open()
        assert not table.error
    return tables


def table_path(folder: Path) -> Path:
    (path,) = folder.glob(FILE_NAME_PREFIX + "*")
    return path


def start_process(source: str, *arguments: object) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, "-B", "-c", source, *map(str, arguments)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def ids_of_one_bucket() -> Iterator[bytes]:
    bucket = digest_of(b"0") % BUCKET_COUNT
    return (
        call_id
        for number in range(10_000_000)
        if digest_of(call_id := b"%d" % number) % BUCKET_COUNT == bucket
    )


def test_id_that_is_open_or_recent_at_one_process_is_a_duplicate_at_the_others(
    processes: list[SharedCallIds], clock: Clock
) -> None:
    first, second, third = processes
    assert first.reserve(b"a", OPEN_US) is Reservation.RESERVED
    for now_us in (START_US, START_US + OPEN_US, START_US + OPEN_US + RETENTION_US - 1):
        clock.now_us = now_us
        assert [table.reserve(b"a", OPEN_US) for table in processes] == 3 * [Reservation.DUPLICATE]
    clock.now_us = START_US + OPEN_US + RETENTION_US
    assert third.reserve(b"a", OPEN_US) is Reservation.RESERVED
    assert second.reserve(b"a", OPEN_US) is Reservation.DUPLICATE


def test_ids_of_a_process_that_ended_stay_reserved(tmp_path: Path, processes: list[SharedCallIds]) -> None:
    assert processes[0].reserve(b"a", OPEN_US) is Reservation.RESERVED
    processes[0].close()
    assert processes[0].reserve(b"b", OPEN_US) is Reservation.UNAVAILABLE
    successor = SharedCallIds(tmp_path, Clock())
    successor.open()
    assert successor.reserve(b"a", OPEN_US) is Reservation.DUPLICATE


def test_an_open_id_is_never_dropped_for_another_and_a_closed_one_is_dropped_oldest_first(
    processes: list[SharedCallIds], clock: Clock
) -> None:
    call_ids = ids_of_one_bucket()
    filling = [next(call_ids) for _ in range(BUCKET_SLOT_COUNT)]
    for number, call_id in enumerate(filling):
        assert processes[0].reserve(call_id, OPEN_US + number) is Reservation.RESERVED
    late = next(call_ids)
    assert processes[1].reserve(late, OPEN_US) is Reservation.UNDECIDED
    clock.now_us += OPEN_US + 2  # two of them are closed
    assert processes[1].reserve(late, OPEN_US) is Reservation.RESERVED
    assert [processes[2].reserve(call_id, OPEN_US) for call_id in filling[1:]] == (
        (BUCKET_SLOT_COUNT - 1) * [Reservation.DUPLICATE]
    )


def test_processes_that_race_for_the_same_ids_never_reserve_one_twice(tmp_path: Path) -> None:
    id_count = 3000
    children = [start_process(RESERVING_PROCESS, tmp_path, id_count) for _ in range(3)]
    for child in children:
        assert child.stdout is not None and child.stdout.readline() == "open\n"
    outputs = []
    for child in children:
        assert child.stdin is not None
        child.stdin.write("\n")
        child.stdin.flush()
    for child in children:
        outputs.append(child.communicate(timeout=60)[0].split())
    reserved = Counter(number for output in outputs for number in output)
    assert max(reserved.values()) == 1
    assert len(reserved) > 0.9 * id_count  # two processes may both be told that an id is undecided


@pytest.mark.parametrize("signal_number", [signal.SIGSTOP, signal.SIGKILL])
def test_process_that_is_stopped_or_killed_while_it_reserves_blocks_no_other(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    child = start_process(PROCESS_WITHIN_SECTION, tmp_path, "a")
    try:
        assert child.stdout is not None and child.stdout.readline() == "within\n"
        child.send_signal(signal_number)
        is_killed = signal_number is signal.SIGKILL
        if is_killed:
            child.wait()
        sibling = SharedCallIds(tmp_path)
        sibling.open()
        expected = Reservation.RESERVED if is_killed else Reservation.UNDECIDED
        assert sibling.reserve(b"a", OPEN_US) is expected
        assert sibling.reserve(b"another bucket", OPEN_US) is Reservation.RESERVED
        child.kill()
        child.wait()
        assert sibling.reserve(b"a", OPEN_US) is (
            Reservation.DUPLICATE if is_killed else Reservation.RESERVED
        )
    finally:
        child.kill()
        child.communicate()


def test_torn_entry_reserves_no_other_id(tmp_path: Path, processes: list[SharedCallIds]) -> None:
    offset = digest_of(b"a") % BUCKET_COUNT * BUCKET_STRUCT.size
    with open(table_path(tmp_path), "r+b") as file:
        file.seek(offset)
        file.write(SLOT_STRUCT.pack(digest_of(b"b"), START_US + OPEN_US)[:11])
    assert processes[0].reserve(b"a", OPEN_US) is Reservation.RESERVED
    assert processes[1].reserve(b"a", OPEN_US) is Reservation.DUPLICATE


def test_entries_that_no_process_can_have_written_count_as_unused(
    tmp_path: Path, processes: list[SharedCallIds]
) -> None:
    garbage = SLOT_STRUCT.pack(digest_of(b"a"), START_US + MAX_OPEN_US + 1)
    table_path(tmp_path).write_bytes(garbage * (FILE_BYTES // len(garbage)))
    assert processes[0].reserve(b"a", OPEN_US) is Reservation.RESERVED
    assert processes[1].reserve(b"a", OPEN_US) is Reservation.DUPLICATE


def test_truncated_table_is_an_error_until_it_is_opened_again(
    tmp_path: Path, processes: list[SharedCallIds]
) -> None:
    os.truncate(table_path(tmp_path), 0)
    assert processes[0].reserve(b"a", OPEN_US) is Reservation.UNAVAILABLE
    assert (processes[0].failure_count, bool(processes[0].error)) == (1, True)
    processes[0].open()
    assert not processes[0].error and table_path(tmp_path).stat().st_size == FILE_BYTES
    assert processes[0].reserve(b"a", OPEN_US) is Reservation.RESERVED
    assert processes[1].reserve(b"a", OPEN_US) is Reservation.DUPLICATE


def test_table_of_an_earlier_boot_is_not_used(tmp_path: Path, processes: list[SharedCallIds]) -> None:
    assert processes[0].reserve(b"a", OPEN_US) is Reservation.RESERVED
    with mock.patch.object(shared_call_ids, "read_boot_id", lambda: b"next"):
        rebooted = SharedCallIds(tmp_path, Clock())
        rebooted.open()
    assert table_path(tmp_path).name == FILE_NAME_PREFIX + "next"
    assert rebooted.reserve(b"a", OPEN_US) is Reservation.RESERVED


def test_layout_of_an_entry(tmp_path: Path, processes: list[SharedCallIds]) -> None:
    """Builds of this layout version read each other's entries."""
    assert processes[0].reserve(b"9b1f03aa5c7e2d41", OPEN_US) is Reservation.RESERVED
    data = table_path(tmp_path).read_bytes()
    assert len(data) == 4096 * 128 and data.count(0) >= len(data) - 16
    entries = [data[at : at + 16] for at in range(0, len(data), 16) if any(data[at : at + 16])]
    (entry,) = entries
    digest, end_us = struct.unpack("<QQ", entry)
    assert end_us == START_US + OPEN_US and digest == digest_of(b"9b1f03aa5c7e2d41")
    assert data.index(entry) == digest % 4096 * 128


def new_call_ids(state: SharedState, clock: Callable[[], int]) -> RecentCallIds:
    call_ids = RecentCallIds(clock)
    call_ids.shared = state
    return call_ids


def test_requests_are_received_while_ids_can_t_be_shared_and_uploads_only_without_siblings(
    tmp_path: Path, clock: Clock
) -> None:
    with unwritable_disk(28):
        only = SharedState(tmp_path, shares_call_ids=True)
        assert only.call_ids.error
        call_ids = new_call_ids(only, clock)
        call_ids.reserve(b"a", False, clock() + OPEN_US, is_idempotent=False)
        with pytest.raises(DuplicateRequestError):
            call_ids.reserve(b"a", False, clock() + OPEN_US, is_idempotent=False)
    sibling = SharedState(tmp_path, shares_call_ids=True)
    assert not sibling.call_ids.error and only.count_siblings() == 1
    call_ids.reserve(b"b", False, clock() + OPEN_US, is_idempotent=True)
    with pytest.raises(CallIdUndecidedError):
        call_ids.reserve(b"c", False, clock() + OPEN_US, is_idempotent=False)
    only.call_ids.open()
    call_ids.reserve(b"c", False, clock() + OPEN_US, is_idempotent=False)
    with pytest.raises(DuplicateRequestError):
        new_call_ids(sibling, clock).reserve(b"c", False, clock() + OPEN_US, is_idempotent=False)
    only.deregister()
    sibling.deregister()


@pytest.mark.parametrize("entry", [b"standing", b"leaving "])
def test_uploads_are_rejected_beside_a_process_of_a_build_that_shares_no_ids(
    tmp_path: Path, clock: Clock, entry: bytes
) -> None:
    """Such a process runs a copy of an upload that is open here, and its own uploads are not known here."""
    state = SharedState(tmp_path, shares_call_ids=True)
    call_ids = new_call_ids(state, clock)
    earlier_build = tmp_path / REGISTRY_FOLDER / "earlier-build"
    with open(earlier_build, "wb") as file:
        file.write(entry)
        file.flush()
        fcntl.flock(file, fcntl.LOCK_EX)
        assert state.count_siblings() == 1
        call_ids.reserve(b"a", False, clock() + OPEN_US, is_idempotent=True)
        with pytest.raises(CallIdUndecidedError):
            call_ids.reserve(b"b", False, clock() + OPEN_US, is_idempotent=False)
        sibling = SharedState(tmp_path, shares_call_ids=True)
        assert state.count_siblings() == 2
        with pytest.raises(CallIdUndecidedError):
            call_ids.reserve(b"c", False, clock() + OPEN_US, is_idempotent=False)
    assert state.count_siblings() == 1
    call_ids.reserve(b"d", False, clock() + OPEN_US, is_idempotent=False)
    sibling.announce_leaving()
    assert state.count_siblings() == 1
    call_ids.reserve(b"e", False, clock() + OPEN_US, is_idempotent=False)
    state.deregister()
    sibling.deregister()
