"""Each task, timer and thread of long life of a front raises once: it is reported, and goes on."""

import asyncio
import contextlib
import os
import subprocess
import sys
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from watchdog.observers import Observer

from tests.front_processes import CONFIG_TEXT, ROOT, run_on_uvloop
from tests.helpers import T0, new_request, settings, up_endpoint
from tests.list_damages import ListFolder
from tests.test_gossip_handover import PEERS_TABLE, free_udp_port
from tests.test_list_damages import FOLLOW_SECONDS, DamageFixture
from tests.test_lists_watch import RecordingLog, run_async
from umberlead import configuration
from umberlead.common.counters import Counters
from umberlead.daemon.process import FrontProcess
from umberlead.membership import files, snapshot
from umberlead.membership.service import MAX_WATCH_FAILING_US
from umberlead.membership.watching import RECENT_CHANGE_SECONDS
from umberlead.net.discovery import DiscoveryWatch
from umberlead.scheduling.actions import SetTimer
from umberlead.scheduling.events import EndpointList, Event, TimerExpired
from umberlead.scheduling.scheduler import CONTROL_INTERVAL_US, Scheduler
from umberlead.telemetry import SyslogWriter, format_rfc5424

WAIT_SECONDS = 15.0
KILL_DELAY_SECONDS = 2.7  # from SIGTERM to SIGKILL, with requests of 2 s at most
LIST = b'{"index":1,"snapshot":true,"endpoints":[]}\n'


class UnexpectedError(Exception):
    """An error that no code handles."""


async def wait_until(condition: Callable[[], object], failure: Callable[[], object] = str) -> None:
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, failure()
        await asyncio.sleep(0.005)


@contextlib.contextmanager
def raising_once(target: object, name: str) -> Iterator[list[float]]:
    """Let the method `name` of an object raise at its next call; yield the times of its calls."""
    real = getattr(target, name)
    calls: list[float] = []

    def call(*args: Any, **kwargs: Any) -> Any:
        calls.append(time.monotonic())
        if len(calls) == 1:
            raise UnexpectedError(name)
        return real(*args, **kwargs)

    with mock.patch.object(target, name, call):
        yield calls


# The watch over a list


@pytest.mark.parametrize(
    "path", ["_loader.load", "_loader.change_detector.has_changed", "_apply_load_result", "_apply_to_front"]
)
def test_list_watch_follows_the_list_after_a_part_of_it_raised(path: str, tmp_path: Path) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        service = fixture.start_service()
        store = service._snapshot_store
        assert store is not None
        resynchronized = []
        service._resynchronize_front = lambda membership: resynchronized.append(
            set(membership.active_endpoints)
        )
        *owners, name = path.split(".")
        target: Any = service
        for owner in owners:
            target = getattr(target, owner)
        with raising_once(target, name):
            if name == "has_changed":
                await wait_until(lambda: fixture.counters["task_failures_list_watch"])
            await fixture.require_followed(2, "a")
        assert fixture.counters["task_failures_list_watch"] == 1
        (failure,) = [fields for event, fields in fixture.log.lines if event == "task_failed"]
        assert failure["task"] == "list_watch" and "UnexpectedError" in failure["trace"]
        await wait_until(lambda: "task_recovered" in fixture.log.events())
        # What the front may have applied in part is applied whole.
        assert resynchronized == ([{"a", "drop"}] if name == "_apply_to_front" else [])
        await wait_until(lambda: store.unsaved_list() is None)
        await fixture.require_followed(3, "a", "b")
        service.close()

    run_async(test)


# Guards against a pause of the watch in which a new version or SIGHUP is not read.
@pytest.mark.parametrize("by_signal", [False, True], ids=["new version", "SIGHUP"])
def test_watch_that_fails_at_each_turn_reads_a_new_version_at_once_and_tells_that_it_is_not_ready(
    by_signal: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        service = fixture.start_service()
        is_broken = True
        real_load = service._loader.load

        def load(*args: Any) -> Any:
            if is_broken:
                raise UnexpectedError("load")
            return real_load(*args)

        with mock.patch.object(service._loader, "load", load):
            service.request_load()
            await wait_until(service.unready_reason)  # after it has failed for a while
            assert "list_watch has been failing" in service.unready_reason()
            failing_us = service.supervisor.failing_us("list_watch")
            assert failing_us > MAX_WATCH_FAILING_US
            assert 3 < fixture.counters["task_failures_list_watch"] < 20  # it pauses
            assert [event for event, _ in fixture.log.lines].count("task_failed") == 1
            fixture.list_folder.write(2, "a")
            await asyncio.sleep(0.1)
            is_broken = False
            mended = time.monotonic()
            if by_signal:
                service.request_load()
            else:
                fixture.list_folder.write(3, "a")
            await fixture.wait_for_endpoints("a", "drop")
            assert time.monotonic() - mended < FOLLOW_SECONDS
            await wait_until(lambda: not service.unready_reason())
        service.close()

    run_async(test)


def test_load_that_does_not_return_is_reported_and_the_front_is_not_ready(tmp_path: Path) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        service = fixture.start_service()
        released = threading.Event()
        real_load = service._loader.load

        def load(*args: Any) -> Any:
            released.wait(WAIT_SECONDS)
            return real_load(*args)

        with (
            mock.patch.object(service._loader, "load", load),
            mock.patch("umberlead.membership.service.MAX_LOAD_US", 300_000),
        ):
            service.check_progress()
            assert not service.unready_reason()
            fixture.list_folder.write(2, "a")
            await wait_until(service.unready_reason)
            service.check_progress()
            service.check_progress()
            assert fixture.log.events().count("endpoint_list_watch_stalled") == 1
            released.set()
            await fixture.wait_for_endpoints("a", "drop")
            await wait_until(lambda: not service.unready_reason())
        service.close()

    run_async(test)


def test_snapshot_is_saved_after_its_task_raised(tmp_path: Path) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        service = fixture.start_service()
        with raising_once(snapshot, "encode_snapshot"):
            await fixture.require_followed(2, "a")
            await wait_until(lambda: fixture.counters["task_failures_list_snapshot"] == 1)
            await wait_until(lambda: fixture.counters["list_snapshots_saved"] == 1)
        assert service._snapshot_store is not None and service._snapshot_store.unsaved_list() is None
        service.close()

    run_async(test)


def test_start_goes_on_from_the_snapshot_after_the_first_load_raised(tmp_path: Path) -> None:
    async def test() -> None:
        fixture = DamageFixture(tmp_path)
        fixture.list_folder.write(1, "a", "b")
        fixture.start_service().close()
        fixture.list_folder.write(2, "a")
        with raising_once(files, "read_stable_set"):
            fixture.start_service()
            assert fixture.endpoint_names() == {"a", "b", "drop"}
            await fixture.wait_for_endpoints("a", "drop")
        assert fixture.counters["task_failures_list_watch"] == 1
        fixture.service.close()

    run_async(test)


def test_lists_are_polled_after_the_observer_s_thread_ended(tmp_path: Path) -> None:
    async def test() -> None:
        observers: list[Any] = []

        def new_observer() -> Any:
            observers.append(Observer())
            return observers[-1]

        fixture = DamageFixture(tmp_path, new_observer)
        fixture.list_folder.write(1, "a", "b")
        service = fixture.start_service()
        with (
            mock.patch.object(threading, "excepthook", lambda args: None),
            raising_once(observers[0], "dispatch_events"),
        ):
            await wait_until(lambda: "endpoint_list_polling_started" in fixture.log.events())
        assert service.status()["polling"]
        await fixture.require_followed(2, "a")
        service.close()

    run_async(test)


def test_observer_that_can_t_start_a_thread_is_replaced_by_polling(tmp_path: Path) -> None:
    class ObserverWithoutThread:
        def start(self) -> None:
            raise RuntimeError("can't start new thread")

    async def test() -> None:
        fixture = DamageFixture(tmp_path, ObserverWithoutThread)
        fixture.list_folder.write(1, "a", "b")
        fixture.start_service()
        assert "endpoint_list_polling_started" in fixture.log.events()
        await fixture.require_followed(2, "a")
        fixture.service.close()

    run_async(test)


# A whole front


class WholeFront:
    """A front in this process with watched lists, discovery, gossip and the admin API."""

    def __init__(self, folder: Path, discovery_port: int) -> None:
        (folder / "front").mkdir()
        self.list_folder = ListFolder(folder / "front" / "lists")
        self.list_folder.path.mkdir()
        self.list_folder.write(1, "a", "b")
        (folder / "peers.keys").write_text("6f70657261746f72732d6c6f6f706261636b\n")
        text = CONFIG_TEXT.format(
            sockets=400, discovery=f'discovery = "127.0.0.1:{discovery_port}"', endpoints=""
        )
        text += PEERS_TABLE.format(port=free_udp_port())
        text += '[membership]\nlist = "lists/main.list"\nwithdrawn_most = 1.0\n'
        (folder / "front" / "front.toml").write_text(text)
        self.log = RecordingLog()
        with (
            mock.patch("umberlead.daemon.assembly.descriptors_and_memory_in_use", lambda: (20, 0)),
            mock.patch("umberlead.daemon.assembly.make_logger", lambda *_: self.log),
        ):
            config = configuration.load({"UMBERLEAD_CONFIG": str(folder / "front" / "front.toml")})
            self.front = FrontProcess(config, asyncio.get_running_loop())
        self.front.loop.set_exception_handler(
            lambda _, context: self.front.reporting.log_unexpected_error(context)
        )
        self.task = asyncio.create_task(self.front.run())

    def events(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.log.lines if name == event]

    async def get(self, path: str, address: tuple[str, int]) -> tuple[int, str]:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n".encode())
        reply = await asyncio.wait_for(reader.read(), WAIT_SECONDS)
        writer.close()
        head, _, body = reply.decode().partition("\r\n\r\n")
        return int(head.split()[1]), body

    async def end(self) -> None:
        if not self.task.done():
            self.task.cancel()
        await asyncio.wait([self.task])
        self.front.release_resources()


@contextlib.asynccontextmanager
async def whole_front(folder: Path) -> AsyncIterator[WholeFront]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(LIST), LIST)
            )
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    whole = WholeFront(folder, server.sockets[0].getsockname()[1])
    try:
        await wait_until(lambda: whole.events("started") or whole.task.done(), lambda: whole.log.lines[-5:])
        if whole.task.done():
            whole.task.result()
        yield whole
    finally:
        await whole.end()
        server.close()


def run_whole(folder: Path, test: Callable[[WholeFront], Awaitable[None]]) -> None:
    async def run() -> None:
        async with whole_front(folder) as whole:
            await test(whole)

    run_on_uvloop(run())


# Guards against periodic work that ends for good, and against work that waits for another that fails.
def test_each_periodic_work_of_a_front_goes_on_after_it_raised(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        targets: dict[str, tuple[object, str]] = {
            "wall_clock": (front.endpoint_list_sync, "observe_wall_clock"),
            "state_sync": (front.state_sync, "sync"),
            "list_progress": (front.watched_lists, "check_progress"),
            "discovery_watch": (front.discovery_watch, "restore_timers"),
            "zone_health": (front.zones, "tick"),
            "endpoint_connections": (front.pool, "close_expired"),
            "client_connections": (front, "_close_expired_clients"),
            "listeners": (front, "_resume_listeners"),
            "shutdown": (front.shutdown, "end_if_idle"),
        }
        assert targets.keys() == front._sweep_parts.keys()
        for name, (target, method) in targets.items():
            with raising_once(target, method) as calls:
                front._sweep_parts = front._new_sweep_parts()
                await wait_until(partial(_was_repeated, calls))
            assert front.counters[f"task_failures_{name}"] == 1
            assert whole.events("task_failed")[-1]["task"] == name
        front._sweep_parts = front._new_sweep_parts()
        with raising_once(front.reporting.sweep_lateness, "record_call") as calls:
            await wait_until(lambda: len(calls) >= 2)
        assert front.counters["task_failures_sweep"] == 1
        assert front.supervisor.failing_names() == []
        assert front.admin_listeners
        status, text = await whole.get("/control/counters", front.admin_listeners[0][0].address)
        assert status == 200 and "svc.task_failures.zone_health:1|c\n" in text
        assert "svc.tasks_failing:0|g\n" in text

    run_whole(tmp_path, test)


def _was_repeated(calls: list[float]) -> bool:
    return len(calls) >= 2


def test_quotas_and_reports_of_a_front_go_on_after_they_raised(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        with raising_once(front.shared_state, "has_changed") as calls:
            await wait_until(lambda: len(calls) >= 2)
        assert front.counters["task_failures_quota_update"] == 1
        front.supervisor.call_periodically(
            front.wheel, 10_000, "counters_report", lambda: front.reporting.log_counters()
        )
        with raising_once(front.reporting, "log_counters") as calls:
            await wait_until(lambda: len(calls) >= 2)
        assert front.counters["task_failures_counters_report"] == 1

    run_whole(tmp_path, test)


def test_gossip_goes_on_after_its_tick_and_a_datagram_raised_and_its_socket_closed(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        service = front.gossip
        assert service is not None
        with raising_once(service._protocol.gossip, "tick") as calls:
            await wait_until(lambda: len(calls) >= 2)
        assert front.counters["task_failures_gossip_tick"] == 1
        with raising_once(service._protocol.gossip, "receive") as calls:
            for _ in range(2):
                service._protocol.datagram_received(b"x", ("127.0.0.1", 1))
        assert len(calls) == 2 and front.counters["unexpected_errors"] == 1
        assert service._protocol.transport is not None
        with raising_once(front.gossip_start, "_open") as calls:
            service._protocol.transport.abort()
            await wait_until(lambda: front.gossip not in (None, service), lambda: whole.log.lines[-5:])
        assert whole.events("gossip_lost") and len(whole.events("gossip_started")) == 2
        assert front.counters["task_failures_gossip_bind"] == 1

    run_whole(tmp_path, test)


@pytest.mark.parametrize("method", ["arm_silence_timer", "open"])
def test_discovery_watch_goes_on_after_its_timers_raised(method: str, tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        watch = front.discovery_watch
        assert isinstance(watch, DiscoveryWatch) and watch.stream is not None
        with raising_once(watch, method) as calls:
            watch.stream.end("lost")
            await wait_until(
                lambda: len(calls) >= 2 and watch.stream is not None and watch.stream.call.status
            )
        assert front.counters["unexpected_errors"] == 1 and front.counters["discovery_restarts"] >= 1
        assert "UnexpectedError" in whole.events("unexpected_error")[0]["trace"]

    run_whole(tmp_path, test)


# Guards against an error of the program that is told as a malformed message, and a change that is lost.
def test_list_of_discovery_that_could_not_be_applied_is_asked_for_again(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        watch = whole.front.discovery_watch
        assert isinstance(watch, DiscoveryWatch)
        with raising_once(watch, "on_message") as calls:
            watch.change_address(("localhost", watch.address[1]))
            await wait_until(lambda: len(calls) >= 2)
        (error,) = whole.events("unexpected_error")
        assert "UnexpectedError" in error["trace"]
        assert whole.events("watch_disconnected")[-1]["reason"] == "failed"
        assert watch.list_index == 1

    run_whole(tmp_path, test)


def test_listener_accepts_again_after_it_raised(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        listener = front.listeners[0]
        with raising_once(listener, "_accept_available") as calls:
            assert await whole.get("/healthz", listener.address) == (200, "ok\n")
        assert len(calls) >= 2 and front.counters["unexpected_errors"] == 1

    run_whole(tmp_path, test)


# Guards against a front that says ready and follows no list.
def test_health_check_and_readiness_tell_of_a_watch_that_fails(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        lists = front.watched_lists
        assert lists is not None
        client_address, admin_address = front.listeners[0].address, front.admin_listeners[0][0].address
        assert await whole.get("/control/ready", admin_address) == (200, "ready\n")
        with mock.patch.object(lists._loader, "load", mock.Mock(side_effect=UnexpectedError)):
            lists.request_load()
            await wait_until(lists.unready_reason)
            for path, address in (("/healthz", client_address), ("/control/ready", admin_address)):
                status, text = await whole.get(path, address)
                assert status == 503 and "list_watch has been failing for" in text
            _, text = await whole.get("/control/counters", admin_address)
            assert "svc.task_failures.list_watch:" in text and "svc.tasks_failing:1|g" in text
        await wait_until(lambda: not lists.unready_reason())
        assert await whole.get("/healthz", client_address) == (200, "ok\n")

    run_whole(tmp_path, test)


# Guards against a SIGHUP that does not read the lists as the configuration has an error.
def test_reload_with_a_wrong_configuration_reads_the_lists(tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        front = whole.front
        lists = front.watched_lists
        assert lists is not None
        for path in (whole.list_folder.main, whole.list_folder.drop_in):
            os.utime(path, (1, 1))  # so that the files are not read for having changed a moment ago
        await asyncio.sleep(RECENT_CHANGE_SECONDS + 0.5)
        count = lists.load_count
        await asyncio.sleep(0.5)
        assert lists.load_count == count
        with mock.patch.object(
            configuration, "load", mock.Mock(side_effect=configuration.ConfigError("k", "no"))
        ):
            front.reload()
        await wait_until(lambda: lists.load_count > count)
        assert whole.events("reload_rejected")

    run_whole(tmp_path, test)


# Guards against a process that does not end, as a step of its shutdown raised before the later ones were set.
@pytest.mark.parametrize("target", ["shared_state.announce_leaving", "lifecycle.shut_down", "pool.close"])
def test_shutdown_ends_after_a_step_raised(target: str, tmp_path: Path) -> None:
    async def test(whole: WholeFront) -> None:
        owner, method = target.split(".")
        with raising_once(getattr(whole.front, owner), method) as calls:
            whole.front.shutdown.start()
            if owner == "lifecycle":  # at once, not shortly before SIGKILL is due; a busy front never is idle
                whole.front._sweep_parts.pop("shutdown")
                whole.front.wheel.call_after(0, whole.front.shutdown.answer_open_requests)
            await asyncio.wait_for(whole.task, WAIT_SECONDS)
            await whole.end()
            assert calls
        assert not whole.front.shared_state.count_siblings()

    run_whole(tmp_path, test)


HANGING_LOOKUP_SCRIPT = """
import runpy, socket, time
real = socket.getaddrinfo
def look_up(host, *args, **named):
    return time.sleep(60) if host == "hangs" else real(host, *args, **named)
socket.getaddrinfo = look_up
runpy.run_module("umberlead", run_name="__main__")
"""


# Guards against a process that ends only once a look-up of its list ends, long after SIGKILL is due.
def test_process_ends_in_time_while_a_look_up_of_its_list_hangs(tmp_path: Path) -> None:
    async def test() -> None:
        folder = ListFolder(tmp_path / "lists")
        folder.path.mkdir()
        folder.write(1, "a", "b")
        text = CONFIG_TEXT.format(sockets=400, discovery="", endpoints="").replace("60000000", "2000000")
        (tmp_path / "front.toml").write_text(text + '[membership]\nlist = "lists/main.list"\n')
        with open(tmp_path / "log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-B", "-c", HANGING_LOOKUP_SCRIPT],
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"UMBERLEAD_CONFIG": str(tmp_path / "front.toml")},
            )
        try:
            read_log = (tmp_path / "log").read_text
            await wait_until(lambda: " started " in read_log(), read_log)
            folder.write_main("format 1", "version 2", "server c address hangs:80 shard 0")
            await wait_until(lambda: "does not resolve" in read_log(), read_log)
            process.terminate()
            terminated = time.monotonic()
            await wait_until(lambda: process.poll() is not None, read_log)
            assert process.returncode == 0
            assert time.monotonic() - terminated < KILL_DELAY_SECONDS
        finally:
            process.kill()
            process.wait()

    run_on_uvloop(test())


# Decisions


# Guards against the estimator's interval, which ended for good by one error, and events lost with it.
def test_scheduler_keeps_its_timers_and_the_events_after_one_that_raised() -> None:
    scheduler = Scheduler(settings(), 1, T0)
    scheduler.handle(T0, [])
    with raising_once(scheduler.controller, "step") as steps:
        with pytest.raises(UnexpectedError):
            scheduler.handle(T0 + CONTROL_INTERVAL_US, [])
        actions = scheduler.handle(T0 + CONTROL_INTERVAL_US + 1, [])
        assert [action.delay_us for action in actions if isinstance(action, SetTimer)] == [
            CONTROL_INTERVAL_US - 1
        ]
        scheduler.handle(T0 + 2 * CONTROL_INTERVAL_US, [])
        assert len(steps) == 2
    with raising_once(scheduler.retries, "record_request"), pytest.raises(UnexpectedError):
        changes: list[Event] = [new_request("r"), EndpointList(True, (up_endpoint("n7"),))]
        scheduler.handle(T0 + 2 * CONTROL_INTERVAL_US + 1, changes)
    scheduler.handle(T0 + 2 * CONTROL_INTERVAL_US + 2, [TimerExpired("retry")])
    assert "n7" in scheduler.directory.endpoints


# Log


def test_field_that_can_t_be_encoded_or_printed_does_not_end_the_log(tmp_path: Path) -> None:
    class Unprintable:
        def __str__(self) -> str:
            raise UnexpectedError

    line = format_rfc5424(
        "error", datetime.now(UTC), "h", "a", 1, "event", {"x": Unprintable(), "name": "\udce9"}
    )
    assert "<Unprintable: UnexpectedError>" in line
    counters = Counters()
    with mock.patch("umberlead.telemetry.os.write") as write:
        write.side_effect = lambda descriptor, content: len(content)
        log = SyslogWriter("", counters)
        log.enqueue(line)
        log.enqueue("after")
        log.close(WAIT_SECONDS)
        written = [call.args[1] for call in write.call_args_list]
    assert b"\\udce9" in written[0] and written[1] == b"after\n"


def test_thread_of_the_log_is_started_again() -> None:
    counters = Counters()
    failures: list[object] = []
    with (
        mock.patch.object(threading, "excepthook", failures.append),
        mock.patch(
            "umberlead.telemetry.os.write", side_effect=lambda descriptor, content: len(content)
        ) as write,
    ):
        log = SyslogWriter("", counters)
        with raising_once(log, "_write"):
            log.enqueue("first")
            log._thread.join(WAIT_SECONDS)
        log.enqueue("second")
        log.close(WAIT_SECONDS)
        assert [call.args[1] for call in write.call_args_list] == [b"first\n", b"second\n"]
    assert len(failures) == 1 and counters["log_thread_restarts"] == 1
