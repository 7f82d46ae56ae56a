"""While the state folder can't be written or read, its contents stay valid and every process is counted."""

import contextlib
import errno
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from umberlead.handover.process_claims import ConnectionUse, DescriptorClaim
from umberlead.handover.process_registry import LEAVING_PROCESS_WEIGHT, ProcessRegistry, write_all
from umberlead.handover.shared_state import SharedState

CLAIM = DescriptorClaim(20, (ConnectionUse(10, 5, 3, 100),))
ClaimLists = list[list[DescriptorClaim | None]]


def publish_and_collect(state: SharedState) -> ClaimLists:
    """Publish `CLAIM`; return the siblings' claims that each call of `decide` was given."""
    calls: ClaimLists = []

    def decide(siblings: list[DescriptorClaim | None]) -> DescriptorClaim:
        calls.append(siblings)
        return CLAIM

    assert state.publish(decide)
    return calls


@contextlib.contextmanager
def unwritable_disk(code: int) -> Iterator[None]:
    """Simulate a disk whose files can be opened and read, but not created, written, removed or touched."""
    real_open = os.open

    def open_(path: Any, flags: int, *arguments: Any, **keywords: Any) -> int:
        if flags & os.O_CREAT and not os.path.exists(path):
            raise OSError(code, "")
        return real_open(path, flags, *arguments, **keywords)

    failing = mock.Mock(side_effect=OSError(code, ""))
    with (
        mock.patch("os.open", open_),
        mock.patch("os.pwrite", failing),
        mock.patch("os.write", failing),
        mock.patch("os.unlink", failing),
        mock.patch("os.utime", failing),
        mock.patch("os.mkdir", failing),
    ):
        yield


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_process_that_starts_on_an_unwritable_disk_is_counted_and_keeps_to_its_share(
    tmp_path: Path, code: int
) -> None:
    old = SharedState(tmp_path)
    assert old.publish(lambda _: CLAIM)
    with unwritable_disk(code):
        new = SharedState(tmp_path)
        assert (old.count_siblings(), new.count_siblings()) == (1, 1)
        assert old.share() + new.share() <= 1.0
        old.announce_leaving()
        assert (new.count_siblings(), old.count_siblings()) == (1, 1) and old.share() + new.share() <= 1.0
        old.deregister()
        assert (new.count_siblings(), new.share()) == (0, 1.0)
    assert publish_and_collect(new) == [[]]
    late = SharedState(tmp_path)
    assert (late.count_siblings(), new.count_siblings()) == (1, 1)
    assert publish_and_collect(late) == [[CLAIM]]
    late.deregister()
    new.deregister()


def test_creation_of_the_folder_is_retried_with_each_refresh(tmp_path: Path) -> None:
    root = tmp_path / "state"
    with unwritable_disk(errno.ENOSPC):
        first = SharedState(root)
        assert first.count_siblings() == 0 and first.error and first.publish(lambda _: CLAIM)
    assert first.count_siblings() == 0 and first.error == ""
    second = SharedState(root)
    assert (first.count_siblings(), second.count_siblings()) == (1, 1)
    for process in (first, second):
        process.deregister()


def test_a_folder_that_can_never_be_written_is_not_used(tmp_path: Path) -> None:
    with unwritable_disk(errno.EROFS):
        only = SharedState(tmp_path / "state")
        assert only.root is None and only.error and (only.count_siblings(), only.share()) == (0, 1.0)
        assert only.publish(lambda _: CLAIM)
        only.set_drain_override("n0", True)
        assert list(only.drain_overrides()) == ["n0"]
        only.announce_leaving()
        only.deregister()


@pytest.mark.parametrize("code", [errno.EIO, errno.EMFILE])
def test_drains_and_siblings_are_kept_while_the_folder_can_t_be_read(tmp_path: Path, code: int) -> None:
    """Else a drained endpoint would get requests, and each process would count itself as the only one."""
    one, other = SharedState(tmp_path), SharedState(tmp_path)
    one.set_drain_override("n0", True)
    expected = one.count_siblings(), one.share(), one.drain_overrides()
    for name in ("os.listdir", "builtins.open", "os.stat"):
        with mock.patch(name, side_effect=OSError(code, "")):
            assert (one.count_siblings(), one.share(), one.drain_overrides()) == expected, name
    for process in (one, other):
        process.deregister()


def test_a_drain_that_can_t_be_stored_is_an_error_and_changes_nothing(tmp_path: Path) -> None:
    state = SharedState(tmp_path)
    state.set_drain_override("n0", True)
    with unwritable_disk(errno.ENOSPC):
        with pytest.raises(OSError):
            state.set_drain_override("n1", True)
        with pytest.raises(OSError):
            state.set_drain_override("n0", False)
    assert list(state.drain_overrides()) == ["n0"]
    state.deregister()


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_process_deregisters_without_an_error_on_an_unwritable_disk(tmp_path: Path, code: int) -> None:
    """A buffered write would be repeated when the file is closed, and fail the process with exit code 1."""
    state, other = SharedState(tmp_path), SharedState(tmp_path)
    with unwritable_disk(code):
        state.announce_leaving()
        state.deregister()
    assert other.count_siblings() == 0
    other.deregister()


def test_partial_writes_are_completed(tmp_path: Path) -> None:
    """A claim that is only written in part would be parsed as different numbers."""
    real_pwrite = os.pwrite
    with mock.patch("os.pwrite", lambda file, data, offset: real_pwrite(file, bytes(data)[:7], offset)):
        one, other = SharedState(tmp_path), SharedState(tmp_path)
        assert one.publish(lambda _: CLAIM)
        one.announce_leaving()
    assert other.count_siblings() == 1 and other.share() == 1 / (1 + LEAVING_PROCESS_WEIGHT)
    assert publish_and_collect(other) == [[CLAIM]]
    path = tmp_path / "claims" / other._registry.siblings[0]  # type: ignore[union-attr]
    path.write_bytes(path.read_bytes()[:100])  # as if the process was killed during the write
    assert publish_and_collect(other) == [[None]]
    for process in (one, other):
        process.deregister()


def test_an_incomplete_write_is_an_error(tmp_path: Path) -> None:
    with (
        open(tmp_path / "f", "wb") as file,
        mock.patch("os.pwrite", side_effect=[3, OSError(errno.ENOSPC, "")]),
        pytest.raises(OSError),
    ):
        write_all(file.fileno(), b"standing")


def test_two_processes_that_take_over_entries_at_once_get_one_each(tmp_path: Path) -> None:
    (tmp_path / "fronts").mkdir()
    first = ProcessRegistry(tmp_path / "fronts")
    first.register(lambda name: None)
    with unwritable_disk(errno.ENOSPC):
        others = [ProcessRegistry(tmp_path / "fronts") for _ in range(2)]
        for registry in others:
            registry.register(lambda name: None)
        names = {first.name, *(registry.name for registry in others)}
        assert len(names) == 3 and first.refresh() == 2
        third = ProcessRegistry(tmp_path / "fronts")
        with pytest.raises(OSError):
            third.register(lambda name: None)
    for registry in (first, *others):
        registry.close()
