"""Whatever is put into a list's folder is a problem of the list: the watch goes on, and so does the front."""

import asyncio
import errno
import os
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from tests.front_processes import CONFIG_TEXT, FrontUnderLimit, call_served, run_on_uvloop, wait_until
from tests.list_damages import DAMAGES, ListFolder, random_damage
from tests.test_lists_watch import SilentObserver, WatchFixture, run_async
from umberlead.commands import command
from umberlead.membership import files
from umberlead.membership.checks import PROBLEM_CODES
from umberlead.membership.service import NoUsableListError

FOLLOW_SECONDS = 1.0  # from a change of the files until it is in force
RANDOM_DAMAGES_COUNT = 500
SEED = 69
TRANSIENT_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.EIO,
    errno.ESTALE,
    errno.EINTR,
    errno.EAGAIN,
)
ALL_NAMES = ("a", "b", "drop")
MAX_DESCRIPTORS = 384
KILL_DELAY_SECONDS = 2.7  # from SIGTERM to SIGKILL, with requests of 2 s at most


class DamageFixture(WatchFixture):
    """A watch over a list with drop-ins."""

    def __init__(self, folder: Path, new_observer: Callable[[], Any] | None = None) -> None:
        super().__init__(folder, new_observer)
        self.list_folder = ListFolder(self.main.parent)

    async def require_followed(self, version: int, *names: str) -> None:
        """Put a good version into place, which has to be in force within the time that the pages state."""
        self.list_folder.write(version, *names)
        written = time.monotonic()
        while self.endpoint_names() != {*names, "drop"}:
            assert time.monotonic() < written + FOLLOW_SECONDS, (self.endpoint_names(), self.log.lines[-3:])
            await asyncio.sleep(0.002)

    def rejections(self) -> list[str]:
        return [
            f"{fields['position']}: {fields['code']}: {fields['message']}"
            for event, fields in self.log.lines
            if event == "endpoint_list_rejected"
        ]

    def require_no_failure(self) -> None:
        """No damage may count as a failure of the program."""
        assert "task_failed" not in self.log.events(), self.log.lines
        assert not [name for name in self.counters if name.startswith("task_failures")]


# Guards against a watch that ends without notice when the list's folder has something that it doesn't expect.
@pytest.mark.parametrize("name", DAMAGES)
@pytest.mark.parametrize("new_observer", [None, SilentObserver], ids=["inotify", "polling"])
def test_damage_is_a_problem_and_the_next_versions_are_followed(
    name: str, new_observer: Callable[[], Any] | None, tmp_path: Path
) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path, new_observer)
        fixture.list_folder.write(1, "a", "b")
        fixture.start_service()
        damage, expected = DAMAGES[name]
        damage(fixture.list_folder)
        await fixture.wait_until(fixture.rejections, "the damage was not reported")
        assert expected in fixture.rejections()[0]
        assert fixture.endpoint_names() == set(ALL_NAMES)  # the old list is in force
        await asyncio.sleep(0.1)
        assert len(fixture.rejections()) == 1
        await fixture.require_followed(
            4, "a"
        )  # a server that left in a version that was never read is gone too
        await fixture.require_followed(5, "a", "b")
        fixture.require_no_failure()
        fixture.service.close()

    run_async(test)


# Guards against a start that fails with a traceback, or names a wrong key, beside a list that can't be used.
@pytest.mark.parametrize("name", DAMAGES)
def test_front_starts_from_its_snapshot_beside_a_damage_and_follows_the_next_version(
    name: str, tmp_path: Path
) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        fixture.start_service().close()
        damage, expected = DAMAGES[name]
        damage(fixture.list_folder)
        fixture.start_service()
        assert fixture.endpoint_names() == set(ALL_NAMES)
        assert expected in fixture.rejections()[0]
        await fixture.require_followed(4, "a")
        fixture.require_no_failure()
        fixture.service.close()
        assert fixture.snapshot_path is not None
        fixture.snapshot_path.unlink()
        damage(fixture.list_folder)
        with pytest.raises(NoUsableListError):  # becomes an error of the key membership.list
            fixture.start_service()

    run_async(test)


def test_after_any_of_many_random_damages_the_next_version_is_followed(tmp_path: Path) -> None:
    """Each damage stands for a moment, or comes and goes between two looks at the files."""

    async def test() -> None:
        rng = random.Random(SEED)
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        fixture.start_service()
        for number in range(RANDOM_DAMAGES_COUNT):
            random_damage(rng)(fixture.list_folder)
            await asyncio.sleep(rng.choice([0.0, 0.001, 0.02, 0.1]))
            await fixture.require_followed(10 + number, *rng.choice([("a",), ("a", "b"), ("b",)]))
        fixture.require_no_failure()
        fixture.service.close()

    run_async(test)


@pytest.mark.parametrize("name", DAMAGES)
def test_commands_report_a_damage_as_errors_without_a_traceback(name: str, tmp_path: Path) -> None:
    folder, good = ListFolder(tmp_path / "lists"), ListFolder(tmp_path / "good")
    folder.path.mkdir()
    good.path.mkdir()
    folder.write(1, "a")
    good.write(1, "a")
    DAMAGES[name][0](folder)
    runner = CliRunner()
    for arguments in (["check", str(folder.main)], ["diff", str(good.main), str(folder.main)]):
        result = runner.invoke(command, ["list", *arguments])
        is_folder = folder.main.is_dir()
        assert result.exit_code == (2 if is_folder else 1), (arguments, result.output, result.exception)
        assert is_folder or any(code in result.output for code in PROBLEM_CODES)
    for arguments in (["format", str(folder.main)], ["seal", str(folder.main)]):
        result = runner.invoke(command, ["list", *arguments])
        assert isinstance(result.exception, SystemExit | None), (arguments, result.exception)
        assert result.exit_code in ((0, 1, 2) if arguments[0] == "format" else (1, 2)), result.output


# Guards against a list that is not read again after an error of the system that leaves the files as they are.
@pytest.mark.parametrize("function", ["open", "fstat", "read", "stat", "listdir"])
def test_error_of_the_system_keeps_the_old_list_and_is_tried_again(
    function: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        fixture.start_service()
        for number, code in enumerate(TRANSIENT_ERRNOS):
            names = ("a",) if number % 2 == 0 else ("a", "b")
            before = fixture.endpoint_names()
            with monkeypatch.context() as patch:
                patch.setattr(files.os, function, _failing(function, code))
                fixture.list_folder.write(2 + number, *names)
                for path in fixture.list_folder.path.rglob("*.list"):
                    os.utime(path, (1, 1))  # so that the files don't look recently changed
                await asyncio.sleep(0.15)
                assert fixture.endpoint_names() == before
            ended = time.monotonic()
            while fixture.endpoint_names() != {*names, "drop"}:
                assert time.monotonic() < ended + FOLLOW_SECONDS, (code, fixture.log.lines[-2:])
                await asyncio.sleep(0.005)
        fixture.require_no_failure()
        fixture.service.close()

    run_async(test)


# Guards against a drain, a start, a replacement or an end of a process that waits for a damaged list.
@pytest.mark.parametrize("name", ["recursive pattern", "links in a circle", "main file is a pipe"])
def test_damage_delays_no_drain_start_replacement_or_end_of_a_front(name: str, tmp_path: Path) -> None:
    async def test() -> None:
        folder = ListFolder(tmp_path / "lists")
        folder.path.mkdir()
        folder.write(1, "a", "b")
        processes = [start_front(tmp_path, "old")]
        try:
            old = processes[0]
            await old.until("started")
            DAMAGES[name][0](folder)
            await old.until("endpoint_list_rejected")
            await call_served(old.address("admin_api_listening"), "PUT /control/chunk-servers/a/offline")
            new = start_front(tmp_path, "new")
            processes.append(new)
            assert (await new.until("endpoint_list_restored"))["code"] in PROBLEM_CODES
            await new.until("started")
            await call_served(new.address("admin_api_listening"), "GET /control/ready")
            await end_in_time(old)
            folder.write(2, "a")  # b left in a version that no process has read
            await wait_until(lambda: new.logged("endpoint_list_changed")[-1]["version"] == "2")
            assert new.logged("endpoint_list_changed")[-1]["removed"] == "b"
            DAMAGES[name][0](folder)
            await new.until("endpoint_list_rejected", 2)
            await end_in_time(new)
        finally:
            for process in processes:
                process.child.kill()
                process.child.wait()

    run_on_uvloop(test())


def start_front(root: Path, name: str) -> FrontUnderLimit:
    (root / name).mkdir()
    text = CONFIG_TEXT.format(sockets=MAX_DESCRIPTORS, discovery="", endpoints="").replace(
        "60000000", "2000000"
    )
    text += '[membership]\nlist = "../lists/main.list"\nsnapshot = "../saved"\nwithdrawn_most = 1.0\n'
    return FrontUnderLimit(root / name, text, MAX_DESCRIPTORS)


async def end_in_time(front: FrontUnderLimit) -> None:
    terminated = time.monotonic()
    front.child.terminate()
    await wait_until(lambda: front.child.poll() is not None, front.log.read_text)
    assert front.child.returncode == 0
    assert time.monotonic() - terminated < KILL_DELAY_SECONDS


def _failing(function: str, code: int) -> Callable[..., Any]:
    """Return the system call, which fails on files of the list and on all open files."""
    real = getattr(os, function)

    def call(target: Any, *args: Any, **kwargs: Any) -> Any:
        is_list = isinstance(target, int) or "lists" in str(target)
        writes = function == "open" and args and args[0] & (os.O_WRONLY | os.O_RDWR)
        if is_list and not writes and _is_called_by_the_reader():
            raise OSError(code, os.strerror(code))
        return real(target, *args, **kwargs)

    return call


def _is_called_by_the_reader() -> bool:
    return threading.current_thread().name.startswith("list_")
