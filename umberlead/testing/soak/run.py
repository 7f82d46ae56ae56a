"""One run of the soak test: starts the fleet, injects faults, stops the fleet and judges the records."""

import asyncio
import itertools
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from umberlead.testing.soak import fleet
from umberlead.testing.soak.fault_player import FaultPlayer
from umberlead.testing.soak.fleet import Child, FaultsFile, FrontProcess, StartError
from umberlead.testing.soak.judge import Evidence, Violation, judge
from umberlead.testing.soak.lists import HEARTBEAT_SECONDS, Agent, Entry
from umberlead.testing.soak.load_clients import LoadKind
from umberlead.testing.soak.mix import Mix, mix_of
from umberlead.testing.soak.parts import Front, Server
from umberlead.testing.soak.plan import Fault, Interval, Size, draw
from umberlead.testing.soak.processes import Lateness
from umberlead.testing.soak.records import ClientRecord, Event, NodeRecord, Writer, read
from umberlead.testing.soak.scenario import (
    CLIENT_PROCESS_RATE,
    CROWD_CLIENTS,
    FIRST_MANAGEMENT_PORT,
    FLOOD_CLIENTS,
    FRONT_HOST,
    LISTS_PORT,
    LOAD_CLIENTS,
    MANAGEMENT_PORTS_COUNT,
    NODE_HOST,
    OTHER_LISTS_PORT,
    PLAN,
    PORT,
    PROXY_HOST,
    READY_SECONDS,
    RESOURCE_CHECK_SECONDS,
    SAFE_CLASS,
    kill_delay_seconds,
    limits,
    settings,
)
from umberlead.testing.soak.verdict import Verdict, last_counters, log_lines

_numbers = itertools.count()  # numbers the runs of this process


class Run:
    """A run, with a folder of its own."""

    def __init__(self, folder: Path, seed: int, seconds: float, mix: Mix, faults: list[Interval]) -> None:
        """Prepare a run of `faults` on a fleet of `mix`; concurrent runs get different addresses."""
        self.folder = folder
        self.seed = seed
        self.seconds = seconds
        self.mix = mix
        self.size = mix.size
        self.intervals = faults
        self._late_seconds = 0.0
        self._kill_late_seconds = 0.0
        self._crowds: list[asyncio.subprocess.Process] = []
        self.peak_memory_mb = 0.0  # of a front
        pid = os.getpid()
        self.network_prefix = f"127.{64 + pid % 64}.{(pid // 64 + next(_numbers)) % 250 + 1}"
        self.fronts: list[Front] = []
        self.servers: dict[int, Server] = {}
        self.initial_server: Server  # the server that is in the first slot when the run starts
        self.children: list[Child] = []
        self.violations: list[Violation] = []
        self._player = FaultPlayer(self)
        self._step_ns = 0  # current step of the wall clock of all machines
        self.events = Writer(folder / "events.jsonl")
        self.library = fleet.build_faults(folder)
        self.incarnations: Counter[str] = Counter()
        self._stopping = False

    # Addresses and events

    def _host(self, first: int, number: int) -> str:
        return f"{self.network_prefix}.{first + number}"

    def record_event(self, what: str, who: str, at: float | None = None, value: float = 0.0) -> None:
        """Record an event at `at`, a monotonic time in seconds, or now."""
        at_ns = time.monotonic_ns() if at is None else int(at * 1e9)
        self.events.add(Event(at_ns, what, who, value))

    def add_violation(self, rule: str, what: str) -> None:
        """Add a violation that the run itself observed."""
        self.violations.append(Violation(rule, what))

    # Starting

    async def start(self) -> None:
        """Start all chunk servers and fronts, and wait until the fronts are ready."""
        for slot in range(self.size.nodes):
            server = await self.start_server(slot, f"s{slot}", cold=False)
            if slot == 0:
                self.initial_server = server
        for number in range(self.size.fronts):
            await self._add_front(number)
        await asyncio.gather(*(self.start_process(front) for front in self.fronts))

    async def start_server(self, slot: int, name: str, cold: bool) -> Server:
        """Start a chunk server and its proxy at new addresses, and put them in service at `slot`."""
        incarnation = self.incarnations[name]
        self.incarnations[name] += 1
        port = PORT + self.incarnations[str(slot)]
        self.incarnations[str(slot)] += 1
        address = f"{self._host(NODE_HOST, slot)}:{port}"
        proxy_address = f"{self._host(PROXY_HOST, slot)}:{port}"
        path = self.folder / f"node-{name}-{incarnation}.jsonl"
        node = await fleet.start_child(name, "node", address, f"{name}#{incarnation}", str(path))
        proxy = await fleet.start_child(name, "proxy", proxy_address, address)
        server = Server(slot, name, incarnation, address, proxy_address, node, proxy)
        self.children += (node, proxy)
        self.servers[slot] = server
        if cold:
            self.record_event("node_started", server.record_name)
        return server

    def entry(self, server: Server, status: str = "ready", cold: bool = False) -> Entry:
        """Return the list entry of a server; a cold one starts now, by the wall clock of the machines."""
        since_ms = (time.time_ns() + self._step_ns) // 1_000_000 if cold else 0
        return Entry(server.name, server.proxy_address, server.slot, status, since_ms)

    async def _add_front(self, number: int) -> None:
        agent = Agent()
        for server in self.servers.values():
            agent.entries[server.name] = self.entry(server)
        host = self._host(FRONT_HOST, number)
        await agent.listen((host, LISTS_PORT), (host, OTHER_LISTS_PORT))
        folder = self.folder / f"front{number}"
        (folder / "tmp").mkdir(parents=True)
        self.fronts.append(Front(f"f{number}", number, agent, folder))

    def configure(self, front: Front) -> None:
        """Rewrite the configuration file of a front, as the platform does."""
        port = OTHER_LISTS_PORT if front.uses_other_lists_port else LISTS_PORT
        known = [e.as_message() for e in front.agent.entries.values() if e.status != "gone"]
        config = {
            "name": front.name,
            "seed": f"{self.seed:x}",
            "listen": f"{self._host(FRONT_HOST, front.number)}:{PORT}",
            "discovery": f"{self._host(FRONT_HOST, front.number)}:{port}",
            "limits": {"cores": 1, "memory_mb": self.mix.memory_mb, "sockets": self.mix.descriptors},
            "known": {"index": front.agent.index, "snapshot": True, "endpoints": known},
            "settings": settings(self.size, self.mix.deadline_seconds),
        }
        (front.folder / "config.json").write_text(json.dumps(config))

    async def launch_process(self, front: Front) -> FrontProcess:
        """Start a process of a front beside its running ones; return before it is ready."""
        self.configure(front)
        number = len(front.ended_processes) + len(front.processes)
        state = front.folder / "tmp"
        faults = FaultsFile(front.folder / f"faults-{number}.bin", state / "umberlead")
        faults.faults.clock_step_ns = self._step_ns
        if front.processes:  # processes of one machine share its wall clock and disk
            faults.faults.clock_step_ns = front.processes[-1].faults.faults.clock_step_ns
            faults.faults.folder_rate = front.processes[-1].faults.faults.folder_rate
            faults.faults.folder_errno = front.processes[-1].faults.faults.folder_errno
        faults.apply()
        port = FIRST_MANAGEMENT_PORT + number % MANAGEMENT_PORTS_COUNT
        env = {
            "EDGE_CONFIG": str(front.folder / "config.json"),
            "EDGE_LISTEN": f"{self._host(FRONT_HOST, front.number)}:{PORT}",
            "EDGE_DISCOVERY": f"{self._host(FRONT_HOST, front.number)}:{LISTS_PORT}",
            "TMPDIR": str(state),
        }
        process = await fleet.start_front(
            front.name,
            env,
            f"{self._host(FRONT_HOST, front.number)}:{port}",
            faults,
            self.library,
            self.folder / f"{front.name}-{number}.log",
        )
        front.processes.append(process)
        return process

    async def start_process(self, front: Front) -> FrontProcess:
        """Start a process of a front beside its running ones, and wait until it is ready."""
        process = await self.launch_process(front)
        try:
            await process.ready()
        except StartError as fault:
            self.add_violation("start", str(fault))
        if process.ready_seconds is not None and process.ready_seconds > READY_SECONDS:
            self.add_violation("start", f"{front.name} was ready after {process.ready_seconds:.1f} s")
        return process

    def step_clock(self, step_ns: int) -> None:
        """Step the wall clock of all machines."""
        self._step_ns = step_ns
        for front in self.fronts:
            for process in front.processes:
                process.faults.faults.clock_step_ns = step_ns
                process.faults.apply()

    def clear_clock_step(self) -> None:
        """Use the correct time for new lists and processes; running processes keep their stepped clock."""
        self._step_ns = 0

    # Shutdown of fronts

    async def end_process(self, front: Front, process: FrontProcess) -> None:
        """Send SIGTERM, and check that the process exits with 0 before the earliest SIGKILL of the platform.

        SIGKILL is sent at that moment. Requests that it cuts off count as lost: SIGTERM came in time.
        """
        starting = process.ready_seconds is None
        process.ends = True
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + kill_delay_seconds(self.mix.deadline_seconds)
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout_at(kill_at):
                code = await process.process.wait()
            # The interpreter has no signal handler yet while it starts up.
            if code != 0 and not (starting and code == -signal.SIGTERM):
                tail = process.log.read_text(errors="replace")[-1500:]
                self.add_violation("exit", f"{front.name} ended with {code}: {tail}")
        except TimeoutError:
            process.process.kill()
            self._kill_late_seconds = max(self._kill_late_seconds, loop.time() - kill_at)
            await process.process.wait()
            tail = process.log.read_text(errors="replace")[-1500:]
            self.add_violation("stands", f"{front.name} still ran at the earliest SIGKILL: {tail}")
        self.record_event("front_ended", front.name)
        self._retire(front, process)

    async def crowd(self, front: Front, seconds: float) -> None:
        """Open idle clients that use up the descriptors of a front, for `seconds`."""
        self.record_event("crowd", front.name, value=seconds)
        address = f"{self._host(FRONT_HOST, front.number)}:{PORT}"
        words = (address, str(CROWD_CLIENTS), str(seconds))
        call = (sys.executable, "-B", "-m", f"{fleet.MODULE}.crowd", *words)
        crowd = await asyncio.create_subprocess_exec(*call)
        self._crowds.append(crowd)
        await crowd.wait()

    async def load(self, front: Front, kind: LoadKind, seconds: float) -> None:
        """Occupy a front with clients of one kind, for `seconds`."""
        self.record_event(f"load_{kind.value}", front.name, value=seconds)
        address = f"{self._host(FRONT_HOST, front.number)}:{PORT}"
        count = FLOOD_CLIENTS if kind.is_flood else LOAD_CLIENTS
        if count > self.mix.descriptors // 3:  # more than a front's share of descriptors for clients
            self.record_event("crowd", front.name, value=seconds)
        words = (kind.value, address, str(count), str(seconds), SAFE_CLASS, PLAN)
        call = (sys.executable, "-B", "-m", f"{fleet.MODULE}.load_clients", *words)
        clients = await asyncio.create_subprocess_exec(*call)
        self._crowds.append(clients)
        await clients.wait()

    async def kill_process(self, front: Front, process: FrontProcess) -> None:
        """Send SIGKILL to a process of a front."""
        process.ends = process.killed = True
        process.signal(signal.SIGKILL)
        self.record_event("front_killed", front.name)
        await process.process.wait()
        self._retire(front, process)

    @staticmethod
    def _retire(front: Front, process: FrontProcess) -> None:
        if process in front.processes:
            front.processes.remove(process)
            front.ended_processes.append(process)

    # The run as a whole

    async def _monitor(self) -> None:
        """Check descriptors and memory of the fronts, and that no process ends unexpectedly."""
        since_heartbeat_seconds = 0.0
        lateness = Lateness()
        while not self._stopping:
            await asyncio.sleep(RESOURCE_CHECK_SECONDS)
            self._late_seconds = max(self._late_seconds, lateness.worst_ns() / 1e9)
            since_heartbeat_seconds += RESOURCE_CHECK_SECONDS
            for front in self.fronts:
                self._check_resources(front)
                if since_heartbeat_seconds >= HEARTBEAT_SECONDS:
                    front.agent.send_heartbeat()
            if since_heartbeat_seconds >= HEARTBEAT_SECONDS:
                since_heartbeat_seconds = 0.0

    def _check_resources(self, front: Front) -> None:
        held = sum(process.descriptors() for process in front.processes)
        if held > self.mix.descriptors:
            self.add_violation("descriptors", f"{front.name} holds {held} of {self.mix.descriptors}")
        if len(front.processes) == 1:
            memory_mb = front.processes[0].peak_memory_mb()
        else:
            memory_mb = sum(process.memory_mb() for process in front.processes)
        self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
        if memory_mb > self.mix.memory_mb:
            self.add_violation("memory", f"{front.name} holds {memory_mb:.0f} MB of {self.mix.memory_mb}")
        for process in list(front.processes):
            if process.process.returncode is not None and not process.ends:
                tail = process.log.read_text(errors="replace")[-2000:]
                self.add_violation("crash", f"{front.name} ended with {process.process.returncode}: {tail}")
                self.record_event("front_killed", front.name)
                self._retire(front, process)

    async def _clients(self) -> list[asyncio.subprocess.Process]:
        fronts = [f"{f.name}={self._host(FRONT_HOST, f.number)}:{PORT}" for f in self.fronts]
        made = []
        for number in range(self.size.clients):
            path = self.folder / f"client-{number}.jsonl"
            words = [
                self.seed * 100 + number,
                self.seconds,
                CLIENT_PROCESS_RATE,
                self.mix.deadline_seconds,
                int(self.mix.impatient),
                self.size.nodes,
                path,
                *fronts,
            ]
            call = [sys.executable, "-B", "-m", f"{fleet.MODULE}.client", *map(str, words)]
            made.append(await asyncio.create_subprocess_exec(*call))
        return made

    async def perform(self) -> Verdict:
        """Perform the run and return its verdict."""
        try:
            await self.start()
            watching = asyncio.get_running_loop().create_task(self._monitor())
            clients = await self._clients()
            await self._player.play(self.intervals, self.seconds)
            for client in clients:
                if await client.wait() != 0:
                    self.add_violation("clients", "a client process failed")
            await asyncio.gather(
                *(self.end_process(front, process) for front in self.fronts for process in front.live())
            )
            self._stopping = True
            await watching
        finally:
            await self.close()
        return self._verdict()

    async def close(self) -> None:
        """Kill all processes that still run, and wait until they have ended."""
        processes = [*(child.process for child in self.children), *self._crowds]
        processes += [process.process for front in self.fronts for process in front.processes]
        for process in processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        for front in self.fronts:
            front.agent.close()

    def _verdict(self) -> Verdict:
        evidence = Evidence()
        for path in sorted(self.folder.glob("client-*.jsonl")):
            evidence.clients += read(path, ClientRecord)
        for path in sorted(self.folder.glob("node-*.jsonl")):
            evidence.nodes += read(path, NodeRecord)
        evidence.events = sorted(read(self.folder / "events.jsonl", Event), key=lambda event: event.at)
        counters = last_counters(self.folder)
        for name in ("invariant_violations", "unexpected_errors", "module_errors"):
            if counters[name]:
                lines = [line for line in log_lines(self.folder) if "violated" in line or "error" in line]
                self.add_violation(name, f"{counters[name]}: " + "; ".join(lines[:5]))
        found = [*self.violations, *judge(evidence, limits())]
        counts = Counter(f"{row.kind} {row.end} {row.status or ''}".strip() for row in evidence.clients)
        injected = sum(p.faults.injected() for f in self.fronts for p in (*f.ended_processes, *f.processes))
        return Verdict(
            found,
            counts,
            self._player.played,
            counters,
            injected,
            self.mix.name,
            self._late_seconds,
            self._kill_late_seconds,
            self.peak_memory_mb,
        )


def play(folder: Path, seed: int, seconds: float, size: Size, faults: list[Fault]) -> Verdict:
    """Perform a run in the empty folder `folder`, and return its verdict.

    Args:
        folder: where records and logs are written.
        seed: seed of the mix, the faults and the clients.
        seconds: how long clients send requests.
        size: number of processes, for mixes without a size of their own.
        faults: kinds of faults that may be drawn.
    """
    mix = mix_of(seed, size, faults)
    run = Run(folder, seed, seconds, mix, draw(seed, seconds, mix.size, mix.faults))
    with asyncio.Runner() as runner:
        return runner.run(run.perform())
