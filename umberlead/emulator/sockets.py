"""Plays a scenario on real sockets.

Each front is a process. The emulated servers, discovery agents, log collector and clients run in this
process; all connections are on loopback. Each front reaches the servers and its discovery agent at addresses
of its own.
"""

import asyncio
import os
import re
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from umberlead.emulator.client_connections import ClientConnection, request_text
from umberlead.emulator.discovery_agent import AgentConnection
from umberlead.emulator.front_processes import FrontProcess, configuration_text
from umberlead.emulator.judge import SOCKET_SLACK_US
from umberlead.emulator.log_collector import CollectorConnection
from umberlead.emulator.loopback import Blackhole, Lateness, bound_socket, port_of, put
from umberlead.emulator.node import FOREVER_US, Node
from umberlead.emulator.plan import RUN_ON_US as RUN_ON
from umberlead.emulator.plan import ManualDrain, Notice, Plan, StateChange
from umberlead.emulator.records import Records
from umberlead.emulator.server_connections import ServerConnection
from umberlead.emulator.world import ScenarioState
from umberlead.load_generator.clients import Try
from umberlead.load_generator.day import SECOND_US

START_TIMEOUT_S = 30.0  # within which every front must listen
HEARTBEAT_INTERVAL_S = 2.0  # between heartbeats (empty lines) of a watch
STATUS_BY_STATE = {"up": "ready", "draining": "draining", "gone": "gone"}


class FrontStartError(RuntimeError):
    """A front did not start; the text has the last lines of the fronts' logs."""


class SocketScenario:
    """One scenario on real sockets."""

    def __init__(self, plan: Plan, python: str = sys.executable, root: Path | None = None) -> None:
        """Create the driver; `root` has the package that fronts run, e.g. another version."""
        self.plan, self.state = plan, ScenarioState(plan)
        self.python, self.root = python, root or Path(__file__).parents[2]
        self.fronts = [FrontProcess(n) for n in range(plan.fleet.fronts)]
        self.links: dict[str, set[ServerConnection]] = {}
        self.servers: dict[tuple[str, int], asyncio.Server] = {}
        self.ports: dict[tuple[str, int], int] = {}
        self.blackholes: dict[tuple[str, int], Blackhole] = {}
        self.zone_by_server = {b.name: b.zone for b in plan.node_starts}
        self.collectors: list[CollectorConnection] = []
        self.faults: list[str] = []
        self.lines: list[str] = []
        self.dials: Counter[int] = Counter()  # number of connections to servers, by second
        self.verdicts: dict[int, float] = {}  # when each front first logged that a zone is lost, in s
        self.late = 0.0  # longest delay of this process's own timers, in s
        self.begin = 0.0
        self._timer_due: dict[str, int] = {}
        self._client_of_call: dict[str, ClientConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # Time

    def now(self) -> int:
        return int((self.loop.time() - self.begin) * SECOND_US)

    def at(self, when: int, what: Callable[[], Any]) -> None:
        def fire() -> None:
            self.late = max(self.late, self.loop.time() - self.begin - when / SECOND_US)
            what()

        self.loop.call_at(self.begin + when / SECOND_US, fire)

    def after(self, wait: int, what: Callable[[], Any]) -> None:
        self.loop.call_later(wait / SECOND_US, what)

    def cut(self, front: int, node: Node) -> bool:
        return self.plan.is_partitioned(self.now(), front, int(node.zone))

    # Running the scenario

    async def play(self, progress: Callable[[float], None] | None = None) -> Records:
        self.loop = asyncio.get_running_loop()
        self.lateness = Lateness(self.loop)
        with tempfile.TemporaryDirectory(dir="/dev/shm" if os.path.isdir("/dev/shm") else None) as folder:
            try:
                await self._start(Path(folder))
                await self._play_day(progress)
            finally:
                await self._end()
        self.state.records.sort()
        return self.state.records

    async def _start(self, folder: Path) -> None:
        for node_start in self.plan.node_starts:
            for front in self.fronts:
                await self._listen(node_start.name, front.number, 0)
        collector = ""
        if self.plan.collector_stops:
            taker = await self.loop.create_server(lambda: CollectorConnection(self), "127.0.0.1", 0)
            self.servers["collector", 0] = taker
            collector = f"tcp://127.0.0.1:{port_of(taker)}"
        for front in self.fronts:
            for node_start in self.plan.node_starts:
                if not node_start.at_us:
                    front.agent.entries[node_start.name] = self._entry(
                        front.number, node_start.name, node_start.shard, "up", 0
                    )
            await self._start_front(front, folder, collector)
        end = time.monotonic() + START_TIMEOUT_S
        while not all(
            front.address[1] and front.admin_port and front.agent.watchers for front in self.fronts
        ):
            for front in self.fronts:
                if front.ended:
                    raise FrontStartError(
                        f"front {front.number} ended at its start: {' | '.join(self.lines[-5:])}"
                    )
            if time.monotonic() > end:
                raise FrontStartError(
                    f"not all fronts listen after {START_TIMEOUT_S:g} s: {' | '.join(self.lines[-5:])}"
                )
            for front in self.fronts:
                front.agent.beat()
            await asyncio.sleep(0.1)

    async def _listen(self, name: str, front: int, port: int) -> None:
        sock = bound_socket(("127.0.0.1", port))
        server = await self.loop.create_server(
            lambda: ServerConnection(self, name, front), sock=sock, backlog=256
        )
        self.servers[name, front], self.ports[name, front] = server, port_of(server)

    def _entry(self, front: int, name: str, shard: int, state: str, started: int) -> dict[str, Any]:
        since = int(self.unix * 1000 + started / 1000) if started else 0
        return {
            "name": name,
            "address": f"127.0.0.1:{self.ports[name, front]}",
            "zone": str(self.zone_by_server[name]),
            "type": "node",
            "group": shard,
            "status": STATUS_BY_STATE[state],
            "weight": 1.0,
            "since_ms": since,
        }

    unix = 0.0  # Unix time of the scenario's start, in s

    async def _start_front(self, front: FrontProcess, folder: Path, collector: str) -> None:
        agent = await self.loop.create_server(lambda: AgentConnection(front.agent), "127.0.0.1", 0)
        self.servers["discovery", front.number] = agent
        path = folder / f"front-{front.number}.toml"
        path.write_text(configuration_text(self.plan, front.number, port_of(agent), collector))
        await front.start(self.python, self.root, path)
        front.reader = self.loop.create_task(self._read_log(front))

    async def _read_log(self, front: FrontProcess) -> None:
        assert front.process is not None and front.process.stderr is not None
        while line := await front.process.stderr.readline():
            self.line(line.decode("utf-8", "replace"))

    def line(self, text: str) -> None:
        """Process a line of a front's log: listening addresses, lost zones and unexpected errors."""
        self.lines.append(text.strip())
        del self.lines[:-200]
        found = re.search(r" (listening|admin_api_listening) .*address=\"127.0.0.1:(\d+)\"", text)
        name = re.search(r'front="f([0-9]+)"', text)
        if found is not None and name is not None:
            front = self.fronts[int(name[1])]
            if found[1] == "listening":
                front.address = ("127.0.0.1", int(found[2]))
            else:
                front.admin_port = int(found[2])
        if " room_verdict " in text and 'state="lost"' in text and name is not None:
            self.verdicts.setdefault(int(name[1]), self.now() / SECOND_US)
        if " module_error " in text or " unexpected_error " in text:
            self.faults.append(text.strip()[:500])

    async def _play_day(self, progress: Callable[[float], None] | None) -> None:
        plan = self.plan
        self.begin, self.unix = self.loop.time() + 0.5, time.time() + 0.5
        for node_start in plan.node_starts:
            if node_start.at_us:
                self.at(node_start.at_us, lambda b=node_start: self.state.start_node(b))  # type: ignore[misc]
            else:
                self.state.start_node(node_start)
        for front in self.fronts:
            for node_start in plan.node_starts:
                if not node_start.at_us:
                    self.state.record_notice(0, front.number, node_start.name, "up")
        latest_notice_us: dict[tuple[int, str], int] = {}
        for notice in plan.notices:
            self.at(notice.at, lambda n=notice: self._send_notice(n, latest_notice_us))  # type: ignore[misc]
        for change in plan.state_changes:
            self.at(change.at, lambda t=change: self._change_state(t))  # type: ignore[misc]
        for drain in plan.manual_drains:
            self.at(drain.at, lambda h=drain: self._apply_manual_drain(h))  # type: ignore[misc]
        for cut in plan.partitions:
            self.at(cut.begin, lambda: self._start_task(self._apply_partitions()))
            self.at(cut.end, lambda: self._start_task(self._apply_partitions()))
        for begin, end in plan.collector_stops:
            self.at(begin, lambda: self._set_collector_reading(False))
            self.at(end, lambda: self._set_collector_reading(True))
        beat, end_us = 0.0, plan.length_us + RUN_ON
        requests, k = plan.day.requests, 0
        while (now := self.now()) < end_us:
            while k < len(requests) and requests[k].at < now + SECOND_US // 2:
                of = self.state.clients.first(requests[k])
                self.at(of.at, lambda t=of: self._ask(t))  # type: ignore[misc]
                k += 1
            if now / SECOND_US >= beat:
                beat += HEARTBEAT_INTERVAL_S
                for front in self.fronts:
                    front.agent.beat()
            if progress is not None:
                progress(now / end_us)
            if k == len(requests) and not self.state.open and now > plan.length_us:
                break
            await asyncio.sleep(0.1)

    async def _end(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for client in list(self._client_of_call.values()):
            client.of = None
        for front in self.fronts:
            if front.runs:
                front.terminate()
        for front in self.fronts:
            if front.process is None:
                continue
            code = await front.end()
            if code != 0:
                self.faults.append(f"front {front.number} ended with {code}")
            if front.reader is not None:
                await front.reader
        for blackhole in self.blackholes.values():
            blackhole.close()
        for server in self.servers.values():
            server.close()
        for links in self.links.values():
            for link in list(links):
                link.abort()

    def _start_task(self, call: Any) -> None:
        task = self.loop.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Endpoint list, servers and operators

    def _send_notice(self, notice: Notice, latest_notice_us: dict[tuple[int, str], int]) -> None:
        """Send a notice to a front, unless the front has a newer one of that server: lists have versions."""
        key = (notice.front, notice.server)
        if notice.since < latest_notice_us.get(key, 0):
            return
        latest_notice_us[key] = notice.since
        self.state.record_notice(self.now(), notice.front, notice.server, notice.state)
        shard = self.state.nodes[notice.server].shard
        entry = self._entry(notice.front, notice.server, shard, notice.state, notice.started)
        self.fronts[notice.front].agent.tell(entry)

    def _change_state(self, change: StateChange) -> None:
        lost = self.state.change_state(self.now(), change)
        del lost  # their connections are aborted with all others of the process
        if change.state in ("gone", "cold"):
            self._abort_connections(change.server)
        if change.state == "gone":
            for front in self.fronts:
                self.servers[change.server, front.number].close()

    def _abort_connections(self, name: str) -> None:
        for link in list(self.links.get(name, ())):
            link.job = None
            if not (link.node is not None and self.cut(link.front, link.node)):
                link.abort()

    def fall(self, node: Node) -> None:
        self.state.drop_jobs(self.now(), node)
        self._abort_connections(node.name)
        for front in self.fronts:
            self.servers[node.name, front.number].close()

    def _set_collector_reading(self, on: bool) -> None:
        for one in self.collectors:
            if on:
                one.transport.resume_reading()
            else:
                one.transport.pause_reading()

    async def _apply_partitions(self) -> None:
        """Apply the partitions active now: addresses across them stop accepting, all others accept again."""
        for node_start in self.plan.node_starts:
            node = self.state.nodes.get(node_start.name)
            if node is None or node.state in ("gone", "fallen"):
                continue
            for front in self.fronts:
                key = (node_start.name, front.number)
                cut = self.plan.is_partitioned(self.now() + 1, front.number, node_start.zone)
                if cut and key not in self.blackholes:
                    self.servers[key].close()
                    await asyncio.sleep(0)
                    self.blackholes[key] = Blackhole(("127.0.0.1", self.ports[key]))
                elif not cut and key in self.blackholes:
                    self.blackholes.pop(key).close()
                    await self._listen(node_start.name, front.number, self.ports[key])

    def _apply_manual_drain(self, drain: ManualDrain) -> None:
        for front in self.fronts:
            word = "offline" if drain.drained else "online"
            url = f"http://127.0.0.1:{front.admin_port}/control/chunk-servers/{drain.server}/{word}"
            self._start_task(asyncio.to_thread(put, url))

    def arm(self, node: Node) -> None:
        due = node.due()
        if due < self._timer_due.get(node.name, FOREVER_US):
            self._timer_due[node.name] = due
            self.at(due, lambda: self._advance(node))

    def _advance(self, node: Node) -> None:
        self._timer_due[node.name] = FOREVER_US
        for job in node.advance(self.now()):
            body = f"{node.name}:{job.id}"
            self.state.record_end(node, job, body)
            job.token.done(job, body)
        self.arm(node)

    # Clients

    def _ask(self, of: Try) -> None:
        block, shard = self.state.record_request(self.now(), of)
        r = of.of
        build_request = lambda: request_text(of, block, shard, self.now())  # noqa: E731

        # If this process was delayed, an answer that arrived in time may not have been read yet. One further
        # turn of the loop reads it.
        leave = lambda: self.loop.call_soon(self._give_up, of)  # noqa: E731
        self.at(of.until + SOCKET_SLACK_US, lambda: self.loop.call_soon(leave))
        front = self.fronts[r.front]
        if front.idle:
            client = front.idle.pop()
            self._client_of_call[of.id] = client
            return client.ask(of, build_request, True)
        self._start_task(self._connect(of, build_request))

    async def _connect(self, of: Try, build_request: Callable[[], bytes]) -> None:
        front = self.fronts[of.of.front]
        try:
            _, client = await self.loop.create_connection(
                lambda: ClientConnection(self, front), *front.address
            )
        except OSError:
            return self.broke(of)
        if of.id not in self.state.open:
            return client.abort()
        self._client_of_call[of.id] = client
        client.ask(of, build_request, False)

    def once_more(self, of: Try, build_request: Callable[[], bytes]) -> None:
        if of.id in self.state.open:
            self._start_task(self._connect(of, build_request))

    def answered(self, of: Try, kind: str, body: str) -> None:
        self._client_of_call.pop(of.id, None)
        self._schedule_retry(self.state.answer(self.now(), of, kind, body, self.lateness.us()))

    def broke(self, of: Try) -> None:
        """Record that the front closed a request's connection without an answer."""
        self._client_of_call.pop(of.id, None)
        self.faults.append(f"request {of.id}: its connection ended without an answer")
        self._schedule_retry(self.state.leave(self.now(), of))

    def _give_up(self, of: Try) -> None:
        client = self._client_of_call.pop(of.id, None)
        if client is not None and client.of is of:
            client.of = None
            client.abort()
        self._schedule_retry(self.state.leave(self.now(), of))

    def _schedule_retry(self, of: Try | None) -> None:
        if of is not None:
            self.at(of.at, lambda: self._ask(of))


def play(
    plan: Plan, progress: Callable[[float], None] | None = None, root: Path | None = None
) -> tuple[Records, list[str], float]:
    """Return the records, the faults, and the longest delay of this process's timers in seconds."""
    import uvloop

    made = SocketScenario(plan, root=root)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(made.play(progress)), made.faults, made.late
