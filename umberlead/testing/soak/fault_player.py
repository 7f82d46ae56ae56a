"""Injects faults into a running fleet of the soak test."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from umberlead.testing.soak.lists import Entry
from umberlead.testing.soak.load_clients import LoadKind
from umberlead.testing.soak.parts import Fleet, Front, Server
from umberlead.testing.soak.plan import SIGNAL_SERIES, Fault, Interval
from umberlead.testing.soak.scenario import ACCEPT_FAILS_SECONDS, DRAINED_AFTER_SECONDS, faults_of
from umberlead.testing.soak.signals import SignalSeries


class FaultPlayer:
    """Injects faults into a fleet.

    Attributes:
        played: number of injections of each kind.
    """

    def __init__(self, run: Fleet) -> None:
        """Create a player for the fleet of `run`."""
        self._run = run
        self._signals = SignalSeries(run)
        self.played: Counter[str] = Counter()

    async def play(self, intervals: list[Interval], seconds: float) -> None:
        """Inject all faults at their times; return when all are over and `seconds` have passed."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for interval in intervals:
            await asyncio.sleep(max(began + interval.begin - loop.time(), 0))
            tasks.append(loop.create_task(self._play_one(interval)))
        await asyncio.sleep(max(began + seconds - loop.time(), 0))
        await asyncio.gather(*tasks)

    async def _play_one(self, interval: Interval) -> None:
        plays: dict[Fault, Callable[[Interval], Awaitable[None]]] = {
            Fault.FRONT_RESTART: self._front_restart,
            Fault.FRONT_KILL: self._front_kill,
            Fault.FRONT_HANDOVER: self._front_handover,
            Fault.FRONT_RELOAD: self._front_reload,
            Fault.FRONT_PAUSE: self._front_pause,
            Fault.NODE_DRAIN: self._node_drain,
            Fault.NODE_KILL: self._node_kill,
            Fault.NODE_HANG: self._node_hang,
            Fault.NODE_ERRORS: self._node_errors,
            Fault.NODE_BY_HAND: self._node_by_hand,
            Fault.LINK_STALL: self._link_stall,
            Fault.LINK_RESET: self._link_reset,
            Fault.LINK_PIECES: self._link_pieces,
            Fault.LISTS_SILENT: self._lists_silent,
            Fault.LISTS_RESET: self._lists_reset,
            Fault.CLOCK_STEP_ALL: self._clock_step_all,
            Fault.CROWD: self._crowd,
            Fault.LOAD: self._load,
            Fault.NODE_SLOW: self._node_slow,
            **dict.fromkeys(SIGNAL_SERIES, self._signal_series),
        }
        self.played[interval.fault.value] += 1
        self._run.record_event(
            interval.fault.value, str(interval.target), value=interval.end - interval.begin
        )
        await plays.get(interval.fault, self._system_faults)(interval)

    @staticmethod
    async def _wait_until_over(interval: Interval) -> None:
        await asyncio.sleep(interval.end - interval.begin)

    def _front(self, interval: Interval) -> Front:
        return self._run.fronts[interval.target % len(self._run.fronts)]

    def _server(self, interval: Interval) -> Server:
        return self._run.servers[interval.target % len(self._run.servers)]

    async def _front_restart(self, interval: Interval) -> None:
        front = self._front(interval)
        for process in front.live():
            await self._run.end_process(front, process)
        await self._run.start_process(front)

    async def _front_kill(self, interval: Interval) -> None:
        front = self._front(interval)
        for process in front.live():
            await self._run.kill_process(front, process)
        await self._run.start_process(front)

    async def _front_handover(self, interval: Interval) -> None:
        front = self._front(interval)
        old = front.live()
        await self._run.start_process(front)
        for process in old:
            await self._run.end_process(front, process)

    async def _front_reload(self, interval: Interval) -> None:
        front = self._front(interval)
        front.uses_other_lists_port = not front.uses_other_lists_port
        self._run.configure(front)
        for process in front.live():
            process.signal(signal.SIGHUP)
        await self._wait_until_over(interval)

    async def _front_pause(self, interval: Interval) -> None:
        for process in self._front(interval).live():
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(0.02 + 0.13 * interval.variant)
            process.signal(signal.SIGCONT)

    def _announce(self, entry: Entry) -> float:
        """Send an entry through all agents; return the time by when all fronts must know it."""
        for front in self._run.fronts:
            front.agent.send_change(entry)
        return max(front.agent.known_by for front in self._run.fronts)

    async def _node_drain(self, interval: Interval) -> None:
        old = self._server(interval)
        new = await self._run.start_server(
            old.slot, f"s{old.slot}-{self._run.incarnations[str(old.slot)]}", cold=True
        )
        self._announce(self._run.entry(new, cold=True))
        known_by = self._announce(self._run.entry(old, "draining"))
        self._run.record_event("node_drains", old.record_name, known_by)
        await asyncio.sleep(known_by - time.monotonic() + DRAINED_AFTER_SECONDS)
        self._announce(self._run.entry(old, "gone"))
        await asyncio.sleep(0.5)
        old.node.kill()
        old.proxy.kill()

    async def _node_kill(self, interval: Interval) -> None:
        old = self._server(interval)
        old.node.kill()
        old.proxy.kill()
        await self._wait_until_over(interval)
        new = await self._run.start_server(old.slot, old.name, cold=True)
        self._announce(self._run.entry(new, cold=True))

    async def _node_hang(self, interval: Interval) -> None:
        server = self._server(interval)
        server.node.order(hangs=True)
        await self._wait_until_over(interval)
        server.node.order(hangs=False)

    async def _node_errors(self, interval: Interval) -> None:
        server = self._server(interval)
        server.node.order(flaw_rate=0.1 + 0.5 * interval.variant)
        await self._wait_until_over(interval)
        server.node.order(flaw_rate=0.0)

    async def _set_manual_drain(self, server: Server, word: str) -> bool:
        """Set or clear the manual drain of a server at all fronts; retry at a front that does not answer."""
        path = f"/control/chunk-servers/{server.name}/{word}"
        for front in self._run.fronts:
            for _ in range(40):
                live = front.live()
                statuses = [await process.call("PUT", path) for process in live[-1:]]
                if statuses == [200]:
                    break
                if statuses and statuses[0] in (404, 500) and word == "offline":
                    return False
                await asyncio.sleep(0.1)
            else:
                return False
        return True

    async def _node_by_hand(self, interval: Interval) -> None:
        server = self._server(interval)
        if await self._set_manual_drain(server, "offline"):
            self._run.record_event("node_out", server.record_name)
            await self._wait_until_over(interval)
            self._run.record_event("node_back", server.record_name)
        await self._set_manual_drain(server, "online")

    async def _link_stall(self, interval: Interval) -> None:
        server = self._server(interval)
        server.proxy.order(stalls=True)
        await self._wait_until_over(interval)
        server.proxy.order(stalls=False)

    async def _link_reset(self, interval: Interval) -> None:
        self._server(interval).proxy.order(reset=True)

    async def _link_pieces(self, interval: Interval) -> None:
        server = self._server(interval)
        server.proxy.order(pieces=True)
        await self._wait_until_over(interval)
        server.proxy.order(pieces=False)

    async def _lists_silent(self, interval: Interval) -> None:
        agent = self._front(interval).agent
        agent.fall_silent()
        await self._wait_until_over(interval)
        agent.resume()

    async def _lists_reset(self, interval: Interval) -> None:
        self._front(interval).agent.reset()

    async def _signal_series(self, interval: Interval) -> None:
        await self._signals.play(self._front(interval), interval)

    async def _crowd(self, interval: Interval) -> None:
        """Use up a front's descriptors with idle clients; half of the time its agent is silent meanwhile."""
        front = self._front(interval)
        silent = interval.variant < 0.5
        if silent:
            front.agent.fall_silent()
        await self._run.crowd(front, interval.end - interval.begin)
        if silent:
            front.agent.resume()

    async def _load(self, interval: Interval) -> None:
        """Occupy a front with clients of one kind."""
        kinds = list(LoadKind)
        kind = kinds[int(interval.variant * len(kinds))]
        await self._run.load(self._front(interval), kind, interval.end - interval.begin)

    async def _node_slow(self, interval: Interval) -> None:
        server = self._server(interval)
        server.node.order(slow_rate=0.2 + 0.5 * interval.variant)
        await self._wait_until_over(interval)
        server.node.order(slow_rate=0.0)

    async def _system_faults(self, interval: Interval) -> None:
        """Make system calls of a front's processes fail for a while; a clock step is not undone."""
        front = self._front(interval)
        changed = faults_of(interval)
        for process in front.processes:
            for name, value in changed.items():
                setattr(process.faults.faults, name, value)
            process.faults.apply()
        if interval.fault is Fault.CLOCK_STEP:
            return
        lasting = changed.get("accept_rate") == 1000
        await asyncio.sleep(ACCEPT_FAILS_SECONDS if lasting else interval.end - interval.begin)
        for process in front.processes:
            for name in changed:
                setattr(process.faults.faults, name, 0)
            process.faults.apply()

    async def _clock_step_all(self, interval: Interval) -> None:
        self._run.step_clock(faults_of(interval)["clock_step_ns"])
