"""One front: the parts of a process, wired together from its configuration to its last answer."""

import asyncio
import gc
import os
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from typing import Any

import uvloop

from umberlead import config
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import Wheel
from umberlead.frontends.admin_api import ControlFront
from umberlead.frontends.platform import PlatformFront
from umberlead.handover.descriptor_quota import Places
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import Clients
from umberlead.net.discovery import Watch
from umberlead.net.listener import Listener
from umberlead.net.node_pool import IDLE_KEEPALIVE_FRACTION, Pool
from umberlead.net.server_connection import Handler
from umberlead.plugins import Plugins
from umberlead.recovery.start_times import STEP_US, StartTimes
from umberlead.requests.lifecycle import Engine
from umberlead.resource_limits import BODY_MOST, MORE, Reserve, deal, granted, held, to_come, with_surplus
from umberlead.scheduling.interface import Node, NodeList, NodeState
from umberlead.telemetry import Syslog, logger

ACCEPTING = 550_000  # us after SIGTERM in which new connections are still taken
# SIGKILL follows SIGTERM by the longest deadline, counted as 3 s at most, plus 0.7 s. So long before that, as
# much of it as is not needed here, connections that stand are served on, and what is open is answered.
KILL_MOST, KILL_MORE = 3_000_000, 700_000
SERVING, ANSWERING = 400_000, 200_000
FIRST_LIST = 0.4  # s a start waits for the list; longer, and discovery is down: the known one must do
SWEEP = 100_000
PLACES_LOOK_INTERVAL_US = 20_000  # between looks at what another process leaves of the descriptors
FIRST_PLACES_TIMEOUT_US = (
    200_000  # us a start waits for its part of them; longer, and the other process hangs
)
REPORT = 10_000_000  # us between the counters' lines


EARLY: list[int] = []  # SIGHUP before a front could take it
# When the start began and when each of its stages ended, in monotonic us, in their order.
STAGES = {"began": time.monotonic_ns() // 1000}


def reached(stage: str) -> None:
    STAGES[stage] = time.monotonic_ns() // 1000


def stages() -> dict[str, int]:
    """The us that each stage of the start took, and when the first began, for the log."""
    ends = list(STAGES.values())
    return dict(zip(STAGES, ends[:1] + [b - a for a, b in pairwise(ends)], strict=True))


def module_clock() -> Callable[[], int]:
    """Whole microseconds that only move forward, anchored once to Unix time: discovery's times compare."""
    anchor = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + anchor) // 1000


class Front:
    """The parts of one process, wired together."""

    def __init__(self, conf: config.Config, loop: asyncio.AbstractEventLoop) -> None:
        self.conf, self.loop, self.reserve = conf, loop, Reserve()
        descriptors, memory = held()
        self.held = descriptors + to_come(conf), memory
        self.counters = Counters()
        self.syslog = Syslog(conf.collector, self.counters)
        self.log = logger(conf.name, lambda: self.conf.log_level, self.syslog)
        self.clock = module_clock()
        self.wheel = Wheel(self.clock, lambda delay, fn: loop.call_later(delay / 1e6, fn), conf.tick)
        trace = self.trace = self.log.debug if conf.log_level == "debug" else None
        settings = conf.settings
        if conf.rooms is not None:
            from umberlead.zones.integration import bounded

            settings = bounded(settings, conf.rooms.retry_part)
        hooks = Plugins(conf.plugins, conf.plugin_limit, self.counters, self.log.warning, trace)
        self.engine = Engine(
            settings, conf.seed, self.clock, self.wheel, loop.call_soon, self.counters, self.log.error,
            hooks if hooks.plugins or trace else None,
        )  # fmt: skip
        self.pool = Pool(
            self.engine, loop, self.wheel, self.clock, self.counters, 0,
            conf.settings.link_timeout or 250_000, conf.keepalive, "service.internal", self.log.info,
        )  # fmt: skip
        self.engine.carrier, self.engine.trace = self.pool, trace
        self.pool.may_write = self.engine.guard.may_write
        self.pool.on_write = self.engine.invariants.written
        self.rooms: Any = None  # what decides by rooms, where the configuration has them
        if conf.rooms is not None:
            from umberlead.zones.integration import join

            self.rooms = join(conf.rooms, self.engine, conf.seed, self.clock, self.log.warning)
        self.servers: list[Listener] = []
        self.groups: list[Clients] = []
        self.handlers: list[Handler] = []
        self.doors: list[tuple[Listener, Clients]] = []  # the operators'; open to the end
        self.shared, self.processes = SharedState(conf.state), 1
        self.anchor_us = self.clock() - time.monotonic_ns() // 1000
        anchors = self.shared.clock_anchors.read()
        self.start_times = StartTimes([anchor - self.anchor_us for anchor in anchors])
        if all(abs(anchor - self.anchor_us) >= STEP_US for anchor in anchors):
            self.shared.clock_anchors.add(self.anchor_us)
        self.places = Places(
            self.shared, self.pool, self.groups, self.doors, self.servers, self.clock, self.divide
        )  # fmt: skip
        self.process_share = 0.0  # of what this front may send for a volume; none was told yet
        if self.shared.fault:
            self.log.warning("nothing_shared", why=self.shared.fault)
        self.marks: dict[str, int] = {}  # chunk servers out by hand
        self.watch: Watch | None = None
        self.peers: Any = None  # the gossip's socket and its ticks
        self.lists: Any = None  # the watched lists' service, where the configuration has them
        self.done = asyncio.Event()
        self.told_to_stop = self.stopping = False

    def told(self, listing: config.Listing, news: bool = True) -> None:
        """A list, or a change of it; `news` unless it is what the configuration knew."""
        listing = self._by_own_clock(listing)
        if news:
            self.start_times.listed()
        if self.lists is not None:
            from umberlead.membership.list_merge import server_of

            self.lists.discovered(listing.whole, [server_of(e) for e in listing.endpoints])
            return
        known = self.pool.addresses
        if listing.whole:
            known.clear()
        for endpoint in listing.endpoints:
            if endpoint.node.state is NodeState.GONE:
                known.pop(endpoint.node.node, None)  # on days that replace all again and again they add up
            elif endpoint.address is not None:
                known[endpoint.node.node] = endpoint.address
        self.engine.listed(NodeList(listing.whole, tuple(e.node for e in listing.endpoints)))

    def _by_own_clock(self, listing: config.Listing) -> config.Listing:
        """The list with chunk servers' starts by this process's clock: the wall clock may step."""
        self._observe_wall_clock()
        endpoints = tuple(
            replace(endpoint, node=replace(endpoint.node, started=self._local_start(endpoint.node)))
            if endpoint.node.started
            else endpoint
            for endpoint in listing.endpoints
        )
        return replace(listing, endpoints=endpoints)

    def _local_start(self, node: Node) -> int:
        return self.start_times.local(node.node, node.started, self.clock())

    def _observe_wall_clock(self) -> None:
        if self.start_times.observe(self.clock(), time.time_ns() // 1000):
            self.shared.clock_anchors.add(time.time_ns() // 1000 - time.monotonic_ns() // 1000)
            self.counters.add("wall_clock_steps")
            self.log.warning("wall_clock_stepped")

    def watch_lists(self, of: config.Lists) -> None:
        """The list in force comes from watched files: what only that needs is loaded only for it."""
        from umberlead.membership.list_merge import start

        self.lists = start(of, self)

    def knows(self, node: str) -> bool:
        return self.lists.machine.knows(node) if self.lists is not None else self.engine.knows(node)

    def limit(self) -> None:
        """The caps that follow from the configuration, at the start and with each reload."""
        conf = self.conf
        # Two processes of a front have one front's limits between them: of memory each has an even part.
        sockets, memory = granted(conf.sockets) // self.processes, conf.memory // self.processes
        of = deal(sockets, memory, *self.held, max(len(self.groups), 1))
        pool = self.pool
        pool.memory_limit_bytes = of.answers
        pool.max_head_bytes, pool.max_reply_bytes = of.head, of.answer
        pool.idle_timeout_us = int(conf.keepalive * IDLE_KEEPALIVE_FRACTION)
        self.engine.names_most, self.syslog.most = of.names, of.lines
        if conf.objects is None:  # whose clients have several requests open on one connection
            self.engine.set_open_limit(of.requests)
        for group in self.groups:
            group.idle_timeout_us = conf.client_idle
            group.memory_limit_bytes, group.max_head_bytes = of.bodies // len(self.groups), of.head
        for _, group in self.doors:
            group.memory_limit_bytes = BODY_MOST
            group.max_head_bytes = of.head
        if conf.objects is not None:  # the operator's own cap holds below that
            objects = self.groups[-1]
            objects.memory_limit_bytes = min(objects.memory_limit_bytes, conf.objects.memory)
        for handler in self.handlers:
            handler.retry_after = self.conf.retry_after
        self.divide()

    def divide(self) -> None:
        """Caps of connections: by use, while another process of this front stands."""
        sockets = granted(self.conf.sockets)
        of = deal(sockets, 0, *self.held, max(len(self.groups), 1))
        clients = [with_surplus(of.doors)] * len(self.doors) + [with_surplus(of.clients)] * len(self.groups)
        self.places.look(sockets, self.held[0] + MORE, [*clients, of.nodes], len(self.engine.tickets))

    def divides(self) -> None:
        """Divide anew while another process stands, or where one came or went."""
        if self.places.beside or self.shared.changed():
            self.divide()
        self.wheel.after(PLACES_LOOK_INTERVAL_US, self.divides)

    def look(self) -> None:
        """What other processes of this front, and calls at their doors, have changed."""
        processes, marks = 1 + self.shared.others(), self.shared.overrides()
        if processes != self.processes:
            self.log.info("processes", now=processes, before=self.processes)
            self.processes = processes
            self.limit()
        if (share := self.shared.share()) != self.process_share:
            self.process_share = share
            self.engine.set_process_share(share)
        for node in [n for n in marks if n not in self.marks] + [n for n in self.marks if n not in marks]:
            self.log.warning("by_hand", node=node, state="offline" if node in marks else "online")
            by_hand = self.engine.by_hand if self.lists is None else self.lists.mark
            by_hand(
                node, node in marks, self.start_times.local(f"out {node}", marks.get(node, 0), self.clock())
            )
        self.marks = marks

    def mark(self, node: str, out: bool) -> None:
        """An operator's call: it holds once it is answered."""
        with self.reserve.lent():  # what was answered must hold
            self.shared.override(node, out)
            self.look()

    def clients(self) -> Clients:
        made = Clients(0, self.clock, self.counters, self.conf.client_idle, 0, self.log.error)
        made.on_shortage = self.places.short
        made.on_close = self._client_closed
        self.groups.append(made)
        return made

    def _client_closed(self, owed: bool, reason: str, calls: str) -> None:
        self.engine.invariants.closed(owed, reason, calls)
        if self.trace is not None:
            self.trace("client_closed", reason=reason, calls=calls)

    def listen(self, handler: Handler, clients: Clients, address: config.Address) -> None:
        self.engine.invariants.listening(clients.max_connections > 0 and self.pool.max_connections > 0)
        share = self.conf.state is not None  # also where that can't be written now: another may stand there
        listener = Listener(handler, clients, address, self.loop, share)
        self.servers.append(listener)
        self.log.info("listening", address=":".join(map(str, listener.address)))

    async def run(self) -> None:
        conf = self.conf
        self.loop.add_signal_handler(signal.SIGTERM, self.stop)
        self.loop.add_signal_handler(signal.SIGINT, self.stop)
        self.loop.add_signal_handler(signal.SIGUSR1, self.report)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if EARLY:  # it came once the configuration was read, or while it was
            self.loop.call_soon(self.reload)
        if conf.lists is not None:
            self.watch_lists(conf.lists)
        self.told(conf.known, news=False)
        if conf.discovery is not None:
            self.watch = Watch(
                conf.discovery, conf.known, self.loop, self.wheel, self.clock, self.counters,
                self.log.warning, self.told, conf.settings.heads, not conf.settings.ask_for_nodes,
                self.shared.agent(), self.shared.met_agent,
            )  # fmt: skip
            self.watch.begin()
        ready: list[tuple[Handler, Clients, config.Address]] = []
        if conf.listen is not None:
            platform = PlatformFront(self.engine, conf.retry_after, conf.margin)
            ready.append((platform, self.clients(), conf.listen))
        if conf.objects is not None:
            # A front that is back sooner is missed less: what only this one needs is loaded only for it.
            from umberlead.frontends.object_api.handler import ObjectFront
            from umberlead.frontends.object_api.uploads import Ledger

            clients = self.clients()
            of = conf.objects
            ledger = Ledger(conf.name, self.clock, of.max_uploads, of.max_parts, of.upload_idle)
            objects = ObjectFront(of, self.engine, ledger, clients, conf.retry_after, self.log)
            ready.append((objects, clients, of.listen))
        self.handlers = [handler for handler, _, _ in ready]
        if conf.management is not None:
            door = Clients(0, self.clock, self.counters, conf.client_idle, 0, self.log.error)
            control = ControlFront(
                self.engine, lambda: bool(self.servers) and not self.told_to_stop, self.mark, self.knows
            )
            control.lists, control.rooms = self.lists, self.rooms
            listener = Listener(control, door, conf.management, self.loop)
            self.doors.append((listener, door))
            self.log.info("door", address=":".join(map(str, listener.address)))
        if conf.rooms is not None and conf.rooms.peers is not None:
            await self.talk(conf.rooms.peers)
        self.look()
        self.limit()
        self.wheel.after(PLACES_LOOK_INTERVAL_US, self.divides)
        reached("parts")
        if self.watch is not None and self.watch.ours:
            # What the agent has counts as told from a process's first moment, and `known` may be old.
            # The wait's end is on the wheel, as all deadlines are.
            over = self.wheel.after(int(FIRST_LIST * 1e6), self.watch.first.set)
            await self.watch.first.wait()
            over.cancel()
        reached("list")
        await self.has_places()
        if self.told_to_stop:  # before anything was taken
            return
        for handler, group, address in ready:
            self.listen(handler, group, address)
        dealt = {"descriptors": granted(conf.sockets), "nodes": self.pool.max_connections}
        dealt["clients"] = sum(group.max_connections for group in self.groups)
        self.log.info("limits", cores=conf.cores, memory_mb=conf.memory >> 20, **dealt)
        self.sweep()
        self.wheel.after(REPORT, self.reports)
        # Most of what a request leaves is freed by count: cycles are few, and looked for less often the more
        # memory there is for them.
        gc.set_threshold(max(700, min(10_000, (conf.memory - self.held[1]) // 4096)), 20, 20)
        gc.collect()
        gc.freeze()  # what the start made stays: later collections pass it by
        reached("listeners")
        self.log.info("started", cpu=time.process_time_ns() // 1000, **stages())
        await self.done.wait()

    async def has_places(self) -> None:
        """Beside another process: until that has let go of places. Clients taken sooner would find none."""
        over = self.wheel.after(FIRST_PLACES_TIMEOUT_US, self.places.settled.set)
        await self.places.settled.wait()
        over.cancel()

    async def talk(self, of: config.Peers) -> None:
        """What is held of rooms goes to other fronts, and theirs comes here: only where it is configured."""
        from umberlead.gossip.messages import BadKeys
        from umberlead.gossip.udp_transport import start

        try:
            self.peers = await start(of, self.conf.name, self.conf.seed ^ os.getpid(), self.rooms, self.clock)
        except BadKeys as fault:
            raise config.ConfigError("rooms.peers.keys", str(fault)) from None
        self.log.info("peers", address=self.peers[0].gossip.address)

    def sweep(self) -> None:
        self._observe_wall_clock()
        self.look()
        if self.rooms is not None:
            self.rooms.tick()
        self.pool.sweep()
        for clients in [*self.groups, *(group for _, group in self.doors)]:
            clients.sweep()
        for server in [*self.servers, *(door for door, _ in self.doors)]:
            server.resume()
        leaving = self.stopping or not any(s.is_open or s.accepting for s in self.servers)
        if leaving and not len(self.engine.tickets) and not any(len(c.slots) for c in self.groups):
            self.done.set()
        self.wheel.after(SWEEP, self.sweep)

    def reload(self) -> None:
        """SIGHUP: the file is read and checked whole. What can't be used leaves all as it was. It is taken
        while the front stops, too: what it still sends must know who drains."""
        self.counters.add("reloads")
        try:
            with self.reserve.lent():  # an operator's word is not lost for want of a descriptor
                new = config.load()
        except config.ConfigError as fault:
            self.counters.add("reloads_refused")
            self.log.error("reload_refused", key=fault.key, why=str(fault))
            return
        applied, waiting = config.changes(self.conf, new)
        self.conf = replace(self.conf, **{name: getattr(new, name) for name in applied})
        self.limit()
        if self.lists is not None:
            self.lists.look()
        if self.watch is not None and new.discovery is not None:
            self.watch.move(new.discovery)
        elif "discovery" in applied:
            waiting.append("discovery")
        self.log.info("reloaded", applied=",".join(applied), at_next_start=",".join(waiting))

    def stop(self) -> None:
        """SIGTERM: clients keep coming for a moment, those that are here are served on for as long as the
        time to answer them allows, and all that is taken is answered."""
        if self.told_to_stop:
            return
        self.told_to_stop = True
        self.log.info("stopping", open=len(self.engine.tickets))
        self.shared.leaves()
        if self.servers:  # it has less of what the volumes may have from here on
            self.look()
        for server in self.servers:
            server.accept_without_delay()
        for clients in self.groups:
            # What is closed here comes back to the other process.
            clients.close_after_reply = self.processes > 1
            clients.stopping = True
        longest = max(c.deadline for c in self.conf.settings.classes)
        kill = min(longest, KILL_MOST) + KILL_MORE
        self.wheel.after(ACCEPTING, self.close)
        self.wheel.after(max(kill - SERVING, ACCEPTING), self.drain)
        self.wheel.after(kill - ANSWERING, self.finish)

    def close(self) -> None:
        for server in self.servers:
            if server.is_open:
                self.counters.add("listeners_closed")
                server.close()

    def drain(self) -> None:
        self.close()
        self.stopping = True
        for clients in self.groups:
            clients.drain()

    def finish(self) -> None:
        """Nobody waits for us any longer: what is still open is answered now."""
        for clients in self.groups:
            clients.finish()
        self.engine.finish()
        self.wheel.after(SWEEP, self.done.set)  # clients that never read or leave

    def report(self) -> None:
        self.log.info("counters", open=len(self.engine.tickets), **self.counters.report())

    def reports(self) -> None:
        self.report()
        self.wheel.after(REPORT, self.reports)

    def end(self) -> None:
        if self.watch is not None:
            self.watch.close()
        if self.lists is not None:
            self.lists.close()
        if self.peers is not None:
            self.peers[1].cancel()
            if self.peers[0].transport is not None:
                self.peers[0].transport.close()
        self.pool.close()
        for clients in self.groups:
            clients.close()
        for door, _ in self.doors:
            door.close()
        self.shared.leave()
        self.reserve.close()
        self.report()
        self.syslog.close()


def serve(conf: config.Config) -> None:
    """Run a front to its end. ConfigError where its files can't be used, OSError where it can't listen."""

    async def run() -> None:
        front = Front(conf, asyncio.get_running_loop())
        front.loop.set_exception_handler(lambda _, told: _unexpected(front, told))
        try:
            await front.run()
        finally:
            front.end()
            # A signal that crosses the end must not turn it into a crash: blocked while defaults come back.
            signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def _unexpected(front: Front, told: dict[str, Any]) -> None:
    front.counters.add("unexpected_errors")
    fault = told.get("exception")
    front.log.error("unexpected_error", what=str(told.get("message")), why=repr(fault), pid=os.getpid())
