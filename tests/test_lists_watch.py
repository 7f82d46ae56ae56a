"""The watch over list files: ways in which files change, and the list that is in force afterwards."""

import asyncio
import os
import shutil
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from umberlead.common.counters import Counters
from umberlead.membership import snapshot
from umberlead.membership.flap_damping import FlapDampingSettings
from umberlead.membership.list_merge import MembershipSettings
from umberlead.membership.model import MembershipChange
from umberlead.membership.pending_list import NoPendingListError
from umberlead.membership.service import NoUsableListError, WatchedListService, WatchedListSettings

TIMEOUT_SECONDS = 15.0  # until a condition that is never met fails the test


class RecordingLog:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __getattr__(self, level: str) -> Callable[..., None]:
        return lambda event, **fields: self.lines.append((event, fields))

    def events(self) -> list[str]:
        return [event for event, _ in self.lines]


def list_text(version: int, *names: str, attributes: str = "") -> str:
    lines = ["format 1", f"version {version}"]
    lines += [f"server {name} address 127.0.0.1:{8000 + ord(name[-1])} shard 0{attributes}" for name in names]
    return "\n".join([*lines, f"end {len(lines)}", ""])


class WatchFixture:
    """A folder with a list, the service that watches it, and the changes that the service reported."""

    def __init__(
        self, folder: Path, new_observer: Callable[[], Any] | None = None, with_snapshot: bool = True
    ) -> None:
        self.folder, self.log, self.changes = folder, RecordingLog(), list[MembershipChange]()
        self.main = folder / "lists" / "main.list"
        self.main.parent.mkdir(exist_ok=True)
        self.snapshot_path = folder / "saved" if with_snapshot else None
        self.new_observer = new_observer
        self.counters = Counters()

    def start_service(self) -> WatchedListService:
        settings = WatchedListSettings(
            self.main,
            self.snapshot_path,
            0.005,
            0.05,
            MembershipSettings(1.0, 10**8, FlapDampingSettings(100_000, 7000.0, 1000.0)),
        )
        new_service = WatchedListService(
            settings,
            0,
            asyncio.get_running_loop(),
            lambda: time.monotonic_ns() // 1000,
            self.counters,
            self.log,
            self.changes.append,
            lambda host: ("127.0.0.1",),
            self.new_observer,
        )
        new_service.load_first_list()
        new_service.start_watching()
        self.service = new_service
        return new_service

    def endpoint_names(self) -> set[str]:
        return set(self.service.membership.active_endpoints)

    async def wait_until(self, condition: Callable[[], Any], failure: str) -> None:
        end = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < end, f"{failure}; {self.endpoint_names()}, {self.log.lines[-3:]}"
            await asyncio.sleep(0.005)

    async def wait_for_endpoints(self, *names: str) -> None:
        await self.wait_until(lambda: self.endpoint_names() == set(names), f"{names} not in force")


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


def replace_file(path: Path, text: str) -> None:
    temporary = path.with_suffix(".new")
    temporary.write_text(text)
    os.replace(temporary, path)


class ObserverWithoutInotify:
    def start(self) -> None:
        raise OSError(24, "inotify instance limit reached")


class SilentObserver:
    """Accepts watches and never reports an event: a queue that overflowed, or a file system without
    events."""

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def join(self, timeout: float) -> None: ...

    def schedule(self, *_: Any, **__: Any) -> object:
        return object()

    def unschedule(self, watch: object) -> None: ...


class ObserverWithoutWatches(SilentObserver):
    def schedule(self, *_: Any, **__: Any) -> object:
        raise OSError(28, "inotify watch limit reached")


@pytest.mark.parametrize(
    "new_observer", [None, ObserverWithoutInotify, SilentObserver, ObserverWithoutWatches]
)
def test_every_kind_of_file_change_is_detected(
    tmp_path: Path, new_observer: Callable[[], Any] | None
) -> None:
    async def test() -> None:
        fixture = WatchFixture(tmp_path, new_observer)
        fixture.main.write_text(list_text(1, "a"))
        service = fixture.start_service()
        assert fixture.endpoint_names() == {"a"}
        replace_file(fixture.main, list_text(2, "a", "b"))  # another file renamed over it
        await fixture.wait_for_endpoints("a", "b")
        fixture.main.write_text(list_text(3, "a", "c"))  # written in place
        await fixture.wait_for_endpoints("a", "c")
        target = fixture.main.with_name("other")
        target.write_text(list_text(4, "a", "d"))
        link = fixture.main.with_name("link")
        os.symlink("other", link)
        os.replace(link, fixture.main)  # the file becomes a symlink
        await fixture.wait_for_endpoints("a", "d")
        target.write_text(list_text(5, "a", "e"))  # the target of the symlink, written in place
        await fixture.wait_for_endpoints("a", "e")
        shutil.rmtree(fixture.main.parent)  # the folder is deleted, and created again below
        await fixture.wait_until(
            lambda: service.membership.rejection_problems, "the missing file was not reported"
        )
        assert fixture.endpoint_names() == {"a", "e"}
        fixture.main.parent.mkdir()
        fixture.main.write_text(list_text(6, "f"))
        await fixture.wait_for_endpoints("f")
        fixture.main.write_text(list_text(7, "g"))
        os.utime(fixture.main, (1, 1))  # the file's time goes back
        await fixture.wait_for_endpoints("g")
        service.close()

    run_async(test)


def test_a_recent_change_with_the_same_signature_is_detected(tmp_path: Path) -> None:
    """A recently changed file is read again even if its size, inode and time are the same."""

    async def test() -> None:
        fixture = WatchFixture(tmp_path, SilentObserver)
        fixture.main.write_text(list_text(1, "a"))
        os.utime(fixture.main, ns=(5, 5))
        service = fixture.start_service()
        with open(fixture.main, "r+") as file:
            file.write(list_text(2, "b"))
        os.utime(fixture.main, ns=(5, 5))
        await fixture.wait_for_endpoints("b")
        service.close()

    run_async(test)


def test_an_invalid_file_keeps_the_list_in_force_and_is_logged_once(tmp_path: Path) -> None:
    async def test() -> None:
        fixture = WatchFixture(tmp_path)
        fixture.main.write_text(list_text(1, "a"))
        service = fixture.start_service()
        replace_file(fixture.main, list_text(2, "a", "b").replace("shard", "shrad"))
        await fixture.wait_until(lambda: "endpoint_list_rejected" in fixture.log.events(), "not rejected")
        loads_seen = service.load_count
        for _ in range(3):  # the same content with a new time
            os.utime(fixture.main)
            await fixture.wait_until(
                lambda count_before=loads_seen: service.load_count > count_before,  # type: ignore[misc]
                "not read again",
            )
            loads_seen = service.load_count
        assert fixture.endpoint_names() == {"a"} and fixture.log.events().count("endpoint_list_rejected") == 1
        fields = next(
            logged_fields for event, logged_fields in fixture.log.lines if event == "endpoint_list_rejected"
        )
        assert (fields["code"], fields["position"], fields["suggestion"]) == (
            "L101",
            "main.list:3:33",
            "shard",
        )
        status = service.status()
        assert status["complaint"][0]["line"] == 3 and status["generation"] == 1
        replace_file(fixture.main, list_text(2, "a", "b"))
        await fixture.wait_for_endpoints("a", "b")
        assert "endpoint_list_accepted_again" in fixture.log.events() and service.status()["complaint"] == []
        service.close()

    run_async(test)


def test_frequent_changes_never_apply_an_incomplete_list(tmp_path: Path) -> None:
    """Each valid list has server a, and b or c by its version; a third of the files is truncated."""

    async def test() -> None:
        fixture = WatchFixture(tmp_path)
        fixture.main.write_text(list_text(1, "a"))
        service = fixture.start_service()
        for version in range(2, 201):
            valid_text = list_text(version, "a", "bc"[version % 2])
            if version % 3 == 0:
                fixture.main.write_text(valid_text[: -1 - version % (len(valid_text) - 1)])
            else:
                replace_file(fixture.main, valid_text)
            await asyncio.sleep(0.002)
        await fixture.wait_until(
            lambda: service.membership.file_list and service.membership.file_list.version == 200,
            "version 200 is not in force",
        )
        service.close()
        active: dict[str, Any] = {}
        for change in fixture.changes:
            for endpoint in change.removed:
                del active[endpoint.id]
            for endpoint in (*change.added, *(after for _, after in change.changed)):
                active[endpoint.id] = endpoint
            assert set(active) in ({"a"}, {"a", "b"}, {"a", "c"})
        assert fixture.counters["list_changes"] > 5

    run_async(test)


def test_a_front_starts_from_the_snapshot_and_logs_it(tmp_path: Path) -> None:
    async def test() -> None:
        first_run = WatchFixture(tmp_path)
        first_run.main.write_text(list_text(3, "a", "b"))
        first_run.start_service().close()
        first_run.main.write_text(list_text(4, "a", "c")[:-4])
        second_run = WatchFixture(tmp_path)
        service = second_run.start_service()
        assert second_run.endpoint_names() == {"a", "b"} and service.status()["origin"] == "snapshot"
        assert "endpoint_list_restored" in second_run.log.events()
        replace_file(second_run.main, list_text(2, "c"))  # older than the version in the snapshot
        await second_run.wait_until(
            lambda: [problem.code for problem in service.membership.rejection_problems] == ["L209"],
            "the older version was not rejected",
        )
        replace_file(second_run.main, list_text(4, "c"))
        await second_run.wait_for_endpoints("c")
        assert service.status()["origin"] == "files"
        service.close()

    run_async(test)


def test_with_a_damaged_snapshot_a_start_needs_valid_files(tmp_path: Path) -> None:
    async def test() -> None:
        first_run = WatchFixture(tmp_path)
        first_run.main.write_text(list_text(3, "a"))
        first_run.start_service().close()
        assert first_run.snapshot_path is not None
        data = bytearray(first_run.snapshot_path.read_bytes())
        data[-1] ^= 1
        first_run.snapshot_path.write_bytes(bytes(data))
        second_run = WatchFixture(tmp_path)
        second_run.start_service().close()
        assert (
            second_run.endpoint_names() == {"a"}
            and "endpoint_list_snapshot_damaged" in second_run.log.events()
        )
        first_run.snapshot_path.write_bytes(bytes(data))
        first_run.main.write_text("format 1\nserver\n")
        with pytest.raises(
            NoUsableListError, match=r"main.list:2:7: L101: expected a name.*its digest does not match"
        ):
            WatchFixture(tmp_path).start_service()

    run_async(test)


def test_a_full_disk_is_logged_and_keeps_the_old_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        fixture = WatchFixture(tmp_path)
        fixture.main.write_text(list_text(1, "a"))
        service = fixture.start_service()

        def raise_disk_full(path: Path, data: bytes) -> None:
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(snapshot, "write_atomically", raise_disk_full)
            replace_file(fixture.main, list_text(2, "a", "b"))
            await fixture.wait_for_endpoints("a", "b")
            await fixture.wait_until(
                lambda: fixture.counters["list_snapshots_failed"], "no failure was counted"
            )
            service.close()
        assert fixture.snapshot_path is not None
        saved = snapshot.read_snapshot(fixture.snapshot_path)
        assert saved is not None and saved[0].version == 1

    run_async(test)


def test_a_first_list_that_could_not_be_saved_is_saved_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The save is retried, and does not wait for the next change of the list, which may never come."""

    async def test() -> None:
        fixture = WatchFixture(tmp_path)
        fixture.main.write_text(list_text(1, "a"))
        original_write, errors = snapshot.write_atomically, [OSError(28, "No space left on device")]

        def fail_once(path: Path, data: bytes) -> None:
            if errors:
                raise errors.pop()
            original_write(path, data)

        monkeypatch.setattr(snapshot, "write_atomically", fail_once)
        service = fixture.start_service()
        await fixture.wait_until(lambda: fixture.counters["list_snapshots_saved"], "not saved")
        service.close()
        assert fixture.snapshot_path is not None
        saved = snapshot.read_snapshot(fixture.snapshot_path)
        assert saved is not None and saved[0].version == 1

    run_async(test)


def test_a_pending_list_is_applied_only_when_confirmed(tmp_path: Path) -> None:
    async def test() -> None:
        fixture = WatchFixture(tmp_path)
        fixture.main.write_text(list_text(1, *"abcdef"))
        service = fixture.start_service()
        service.membership.settings = MembershipSettings(0.25)
        replace_file(fixture.main, list_text(2, *"abc"))
        await fixture.wait_until(lambda: "endpoint_list_held" in fixture.log.events(), "not held")
        assert fixture.endpoint_names() == set("abcdef")
        digest = service.status()["pending"]["confirm"]
        with pytest.raises(NoPendingListError):
            service.confirm("0" * 16)
        assert service.confirm(digest) == 2
        assert fixture.endpoint_names() == set("abc") and "pending" not in service.status()
        service.close()

    run_async(test)


def test_twenty_thousand_endpoints_do_not_block_the_event_loop(tmp_path: Path) -> None:
    """Measures how long the event loop is blocked while such a list is loaded again. The bound is generous,
    since other processes share this machine; `make bench-lists` measures it alone."""

    async def test() -> None:
        statements = [
            f"server n{index} address 10.0.{index >> 8}.{index & 255}:80 shard {index} weight 1"
            for index in range(20_000)
        ]

        def long_list_text(version: int, last_weight: str) -> str:
            lines = [
                "format 1",
                f"version {version}",
                *statements[:-1],
                statements[-1].replace("weight 1", last_weight),
            ]
            return "\n".join([*lines, f"end {len(lines)}", ""])

        fixture = WatchFixture(tmp_path, with_snapshot=False)
        fixture.main.write_text(long_list_text(1, "weight 1"))
        service = fixture.start_service()
        assert len(fixture.endpoint_names()) == 20_000
        replace_file(fixture.main, long_list_text(2, "weight 2"))
        pauses, previous = [0.0], time.monotonic()
        while service.membership.generation < 2:
            await asyncio.sleep(0.001)
            now = time.monotonic()
            pauses.append(now - previous)
            previous = now
        assert [endpoint.id for _, endpoint in fixture.changes[-1].changed] == ["n19999"]
        assert sorted(pauses)[len(pauses) * 95 // 100] < 0.1
        service.close()

    run_async(test)
