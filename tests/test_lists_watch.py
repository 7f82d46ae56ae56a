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

PATIENCE = 15.0  # until a condition that is never met fails the test


class Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __getattr__(self, level: str) -> Callable[..., None]:
        return lambda event, **pairs: self.lines.append((event, pairs))

    def events(self) -> list[str]:
        return [event for event, _ in self.lines]


def sheet(version: int, *names: str, more: str = "") -> str:
    rows = ["format 1", f"version {version}"]
    rows += [f"server {n} address 127.0.0.1:{8000 + ord(n[-1])} shard 0{more}" for n in names]
    return "\n".join([*rows, f"end {len(rows)}", ""])


class Bench:
    """A folder with a list, the service that watches it, and the changes that the service reported."""

    def __init__(self, folder: Path, observer: Callable[[], Any] | None = None, saved: bool = True) -> None:
        self.folder, self.log, self.told = folder, Log(), list[MembershipChange]()
        self.main = folder / "lists" / "main.list"
        self.main.parent.mkdir(exist_ok=True)
        self.saved = folder / "saved" if saved else None
        self.observer = observer
        self.counters = Counters()

    def open(self) -> WatchedListService:
        conf = WatchedListSettings(
            self.main,
            self.saved,
            0.005,
            0.05,
            MembershipSettings(1.0, 10**8, FlapDampingSettings(100_000, 7000.0, 1000.0)),
        )
        made = WatchedListService(
            conf,
            0,
            asyncio.get_running_loop(),
            lambda: time.monotonic_ns() // 1000,
            self.counters,
            self.log,
            self.told.append,
            lambda host: ("127.0.0.1",),
            self.observer,
        )
        made.load_first_list()
        made.start_watching()
        self.service = made
        return made

    def names(self) -> set[str]:
        return set(self.service.membership.active_endpoints)

    async def until(self, met: Callable[[], Any], what: str) -> None:
        end = time.monotonic() + PATIENCE
        while not met():
            assert time.monotonic() < end, f"{what}; {self.names()}, {self.log.lines[-3:]}"
            await asyncio.sleep(0.005)

    async def comes(self, *names: str) -> None:
        await self.until(lambda: self.names() == set(names), f"{names} not in force")


def play(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


def replace(path: Path, text: str) -> None:
    beside = path.with_suffix(".new")
    beside.write_text(text)
    os.replace(beside, path)


class NoInotify:
    def start(self) -> None:
        raise OSError(24, "inotify instance limit reached")


class Deaf:
    """Accepts watches and never reports an event: a queue that overflowed, or a file system without
    events."""

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def join(self, timeout: float) -> None: ...

    def schedule(self, *_: Any, **__: Any) -> object:
        return object()

    def unschedule(self, watch: object) -> None: ...


class Few(Deaf):
    def schedule(self, *_: Any, **__: Any) -> object:
        raise OSError(28, "inotify watch limit reached")


@pytest.mark.parametrize("observer", [None, NoInotify, Deaf, Few])
def test_every_way_to_change_a_file_is_seen(tmp_path: Path, observer: Callable[[], Any] | None) -> None:
    async def test() -> None:
        bench = Bench(tmp_path, observer)
        bench.main.write_text(sheet(1, "a"))
        service = bench.open()
        assert bench.names() == {"a"}
        replace(bench.main, sheet(2, "a", "b"))  # renamed over
        await bench.comes("a", "b")
        bench.main.write_text(sheet(3, "a", "c"))  # written in place
        await bench.comes("a", "c")
        other = bench.main.with_name("other")
        other.write_text(sheet(4, "a", "d"))
        link = bench.main.with_name("link")
        os.symlink("other", link)
        os.replace(link, bench.main)  # the file becomes a symlink
        await bench.comes("a", "d")
        other.write_text(sheet(5, "a", "e"))  # the target of the symlink, written in place
        await bench.comes("a", "e")
        shutil.rmtree(bench.main.parent)  # the folder is deleted, and created again below
        await bench.until(lambda: service.membership.rejection_problems, "the missing file was not reported")
        assert bench.names() == {"a", "e"}
        bench.main.parent.mkdir()
        bench.main.write_text(sheet(6, "f"))
        await bench.comes("f")
        bench.main.write_text(sheet(7, "g"))
        os.utime(bench.main, (1, 1))  # the file's time goes back
        await bench.comes("g")
        service.close()

    play(test)


def test_two_contents_with_one_signature_are_distinguished(tmp_path: Path) -> None:
    """A recently changed file is read again even if its size, inode and time are the same."""

    async def test() -> None:
        bench = Bench(tmp_path, Deaf)
        bench.main.write_text(sheet(1, "a"))
        os.utime(bench.main, ns=(5, 5))
        service = bench.open()
        with open(bench.main, "r+") as file:
            file.write(sheet(2, "b"))
        os.utime(bench.main, ns=(5, 5))
        await bench.comes("b")
        service.close()

    play(test)


def test_a_broken_file_leaves_the_list_in_force_and_is_logged_once(tmp_path: Path) -> None:
    async def test() -> None:
        bench = Bench(tmp_path)
        bench.main.write_text(sheet(1, "a"))
        service = bench.open()
        replace(bench.main, sheet(2, "a", "b").replace("shard", "shrad"))
        await bench.until(lambda: "endpoint_list_rejected" in bench.log.events(), "not rejected")
        seen = service.load_count
        for _ in range(3):  # the same content with a new time
            os.utime(bench.main)
            await bench.until(lambda before=seen: service.load_count > before, "not read again")  # type: ignore[misc]
            seen = service.load_count
        assert bench.names() == {"a"} and bench.log.events().count("endpoint_list_rejected") == 1
        pairs = next(p for e, p in bench.log.lines if e == "endpoint_list_rejected")
        assert (pairs["code"], pairs["position"], pairs["suggestion"]) == ("L101", "main.list:3:33", "shard")
        status = service.status()
        assert status["complaint"][0]["line"] == 3 and status["generation"] == 1
        replace(bench.main, sheet(2, "a", "b"))
        await bench.comes("a", "b")
        assert "endpoint_list_accepted_again" in bench.log.events() and service.status()["complaint"] == []
        service.close()

    play(test)


def test_hundreds_of_changes_never_show_an_incomplete_list(tmp_path: Path) -> None:
    """Each valid list has server a, and b or c by its version; a third of the files is truncated."""

    async def test() -> None:
        bench = Bench(tmp_path)
        bench.main.write_text(sheet(1, "a"))
        service = bench.open()
        for version in range(2, 201):
            good = sheet(version, "a", "bc"[version % 2])
            if version % 3 == 0:
                bench.main.write_text(good[: -1 - version % (len(good) - 1)])
            else:
                replace(bench.main, good)
            await asyncio.sleep(0.002)
        await bench.until(
            lambda: service.membership.file_list and service.membership.file_list.version == 200,
            "version 200 is not in force",
        )
        service.close()
        seen: dict[str, Any] = {}
        for change in bench.told:
            for member in change.removed:
                del seen[member.id]
            for member in (*change.added, *(after for _, after in change.changed)):
                seen[member.id] = member
            assert set(seen) in ({"a"}, {"a", "b"}, {"a", "c"})
        assert bench.counters["list_changes"] > 5

    play(test)


def test_a_front_starts_from_the_last_good_list_and_logs_it(tmp_path: Path) -> None:
    async def test() -> None:
        first = Bench(tmp_path)
        first.main.write_text(sheet(3, "a", "b"))
        first.open().close()
        first.main.write_text(sheet(4, "a", "c")[:-4])
        bench = Bench(tmp_path)
        service = bench.open()
        assert bench.names() == {"a", "b"} and service.status()["origin"] == "snapshot"
        assert "endpoint_list_restored" in bench.log.events()
        replace(bench.main, sheet(2, "c"))  # older than the version in the snapshot
        await bench.until(
            lambda: [p.code for p in service.membership.rejection_problems] == ["L209"],
            "the older version was not rejected",
        )
        replace(bench.main, sheet(4, "c"))
        await bench.comes("c")
        assert service.status()["origin"] == "files"
        service.close()

    play(test)


def test_a_damaged_snapshot_is_not_used_and_nothing_at_all_is_an_error(tmp_path: Path) -> None:
    async def test() -> None:
        bench = Bench(tmp_path)
        bench.main.write_text(sheet(3, "a"))
        bench.open().close()
        assert bench.saved is not None
        data = bytearray(bench.saved.read_bytes())
        data[-1] ^= 1
        bench.saved.write_bytes(bytes(data))
        again = Bench(tmp_path)
        again.open().close()
        assert again.names() == {"a"} and "endpoint_list_snapshot_damaged" in again.log.events()
        bench.saved.write_bytes(bytes(data))
        bench.main.write_text("format 1\nserver\n")
        with pytest.raises(
            NoUsableListError, match=r"main.list:2:7: L101: expected a name.*its digest does not match"
        ):
            Bench(tmp_path).open()

    play(test)


def test_a_full_disk_is_logged_and_the_old_snapshot_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        bench = Bench(tmp_path)
        bench.main.write_text(sheet(1, "a"))
        service = bench.open()

        def full(path: Path, data: bytes) -> None:
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(snapshot, "write_atomically", full)
            replace(bench.main, sheet(2, "a", "b"))
            await bench.comes("a", "b")
            await bench.until(lambda: bench.counters["list_snapshots_failed"], "no failure was counted")
            service.close()
        assert bench.saved is not None
        found = snapshot.read_snapshot(bench.saved)
        assert found is not None and found[0].version == 1

    play(test)


def test_a_first_list_that_could_not_be_saved_is_saved_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The save is retried, and does not wait for the next change of the list, which may never come."""

    async def test() -> None:
        bench = Bench(tmp_path)
        bench.main.write_text(sheet(1, "a"))
        whole, faults = snapshot.write_atomically, [OSError(28, "No space left on device")]

        def full_once(path: Path, data: bytes) -> None:
            if faults:
                raise faults.pop()
            whole(path, data)

        monkeypatch.setattr(snapshot, "write_atomically", full_once)
        service = bench.open()
        await bench.until(lambda: bench.counters["list_snapshots_saved"], "not saved")
        service.close()
        assert bench.saved is not None
        found = snapshot.read_snapshot(bench.saved)
        assert found is not None and found[0].version == 1

    play(test)


def test_a_pending_list_waits_for_the_operator(tmp_path: Path) -> None:
    async def test() -> None:
        bench = Bench(tmp_path)
        bench.main.write_text(sheet(1, *"abcdef"))
        service = bench.open()
        service.membership.settings = MembershipSettings(0.25)
        replace(bench.main, sheet(2, *"abc"))
        await bench.until(lambda: "endpoint_list_held" in bench.log.events(), "not held")
        assert bench.names() == set("abcdef")
        digest = service.status()["pending"]["confirm"]
        with pytest.raises(NoPendingListError):
            service.confirm("0" * 16)
        assert service.confirm(digest) == 2
        assert bench.names() == set("abc") and "pending" not in service.status()
        service.close()

    play(test)


def test_twenty_thousand_endpoints_do_not_block_the_event_loop(tmp_path: Path) -> None:
    """Measures how long the event loop is blocked while such a list is loaded again. The bound is generous,
    since other processes share this machine; `make bench-lists` measures it alone."""

    async def test() -> None:
        rows = [f"server n{k} address 10.0.{k >> 8}.{k & 255}:80 shard {k} weight 1" for k in range(20_000)]

        def text(version: int, last: str) -> str:
            lines = ["format 1", f"version {version}", *rows[:-1], rows[-1].replace("weight 1", last)]
            return "\n".join([*lines, f"end {len(lines)}", ""])

        bench = Bench(tmp_path, saved=False)
        bench.main.write_text(text(1, "weight 1"))
        service = bench.open()
        assert len(bench.names()) == 20_000
        replace(bench.main, text(2, "weight 2"))
        stops, before = [0.0], time.monotonic()
        while service.membership.generation < 2:
            await asyncio.sleep(0.001)
            now = time.monotonic()
            stops.append(now - before)
            before = now
        assert [m.id for _, m in bench.told[-1].changed] == ["n19999"]
        assert sorted(stops)[len(stops) * 95 // 100] < 0.1
        service.close()

    play(test)
