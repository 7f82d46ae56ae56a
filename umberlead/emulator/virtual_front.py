"""A front in virtual time: the request engine with emulated connections to the nodes.

Connections and their pool are emulated here; all decisions are those of the engine.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.emulator.loop import START_US, Alarm, Loop
from umberlead.emulator.node import Node
from umberlead.emulator.plan import Notice, Plan, zones_table
from umberlead.emulator.world import ScenarioState
from umberlead.load_generator.clients import Try
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, Attempt, IncomingRequest, Reply
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Settings

DEADLINE_MARGIN_US = 15_000  # a front's deadline is earlier than its client's, as on sockets
RETIRE_RATIO = 0.6  # fraction of the keepalive time after which a front closes an idle connection
STATUS_BY_STATE = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}


def parsed_zones(plan: Plan, front: int) -> Any:
    """Return a front's parsed zone settings, with its own zone and the others by distance."""
    from umberlead import configuration

    return configuration.parse_zones(configuration.Keys(zones_table(plan, front), "rooms"))


class AttemptUnderWay:
    """An attempt in progress.

    Attributes:
        attempt: the engine's attempt.
        node: the node that it is sent to.
        linked: whether it has a connection, established or being established.
        written: whether the request was sent to the node.
        arrived: whether the node has received the request.
        over: whether the attempt has ended for its front.
        left: whether its front closed the connection after it sent the request.
    """

    __slots__ = ("attempt", "node", "linked", "written", "arrived", "over", "left")

    def __init__(self, attempt: Attempt, node: Node) -> None:
        """Create an attempt at `node`."""
        self.attempt = attempt
        self.node = node
        self.linked = False
        self.written = False
        self.arrived = False
        self.over = False
        self.left = False


class Scenario(Protocol):
    """The part of a scenario that a front uses.

    Attributes:
        plan: the rehearsal's plan.
        loop: virtual time.
        state: the nodes and the records.
        faults: errors of the fronts' engines.
        now: microseconds since the scenario's start.
    """

    plan: Plan
    loop: Loop
    state: ScenarioState
    faults: list[str]

    @property
    def now(self) -> int:
        """Return the time since the scenario's start."""

    def answered(self, of: Try, answer: Answer) -> None:
        """Deliver a front's answer to a client."""

    def left(self, of: Try) -> None:
        """Record that a client gave up."""

    def arrived(self, front: "Front", out: "AttemptUnderWay", way: int) -> None:
        """Offer a request that its node has received."""


class Front:
    """One front: its engine, and the connections for its attempts."""

    def __init__(self, number: int, world: Scenario, settings: Settings) -> None:
        """Create a front without requests in the scenario `world`."""
        self.number = number
        self.world = world
        loop = world.loop
        self.wheel = TimerWheel(lambda: loop.now, self._set_alarm, 2000)
        seed = world.plan.seed * 1000 + number
        self.engine = RequestLifecycle(
            settings, seed, lambda: loop.now, self.wheel, loop.soon, Counters(), self._log
        )
        self.engine.transport = self
        self.zones: Any = None
        if "rooms" in world.plan.front_settings:
            from umberlead.zones.integration import ZoneIntegration, zone_settings

            rules = zone_settings(parsed_zones(world.plan, number))
            self.zones = ZoneIntegration(rules, self.engine, seed, lambda: loop.now, None, self._log)
        self.idle: dict[str, list[tuple[int, Node]]] = {}
        self.timeout = settings.connect_timeout_us
        self.retire = int(world.plan.front_settings["bounds"]["keepalive"] * RETIRE_RATIO)
        self._latest_notice_us: dict[str, int] = {}  # time of the state in the newest notice of each server

    def _set_alarm(self, delay: int, what: Callable[[], None]) -> Alarm:
        made = Alarm(what)
        self.world.loop.at(self.world.loop.now + delay, made)
        return made

    def _log(self, event: str, **pairs: Any) -> None:
        if event == "module_error":
            self.world.faults.append(f"front {self.number}: {pairs.get('trace', event)}")

    # Clients

    def take(self, of: Try, block: str, shard: int) -> None:
        """Accept a client's request for `block` of `shard`."""
        request = of.of
        now = self.world.loop.now
        until = START_US + of.until
        ask = IncomingRequest(
            request.class_name,
            request.plan,
            request.volume,
            block,
            shard,
            request.units,
            until - DEADLINE_MARGIN_US,
            (of, block),
            request.hosts,
        )
        ticket = self.engine.accept(ask, lambda answer: self.world.answered(of, answer))
        if not ticket.answered:
            self.world.loop.at(max(until, now), partial(self._on_client_deadline, of, ticket))

    def _on_client_deadline(self, of: Try, ticket: Any) -> None:
        if not ticket.answered:
            self.engine.on_client_disconnected(ticket)
        self.world.left(of)

    # Connections

    def _take_idle_connection(self, name: str) -> Node | None:
        idle_connections = self.idle.get(name, [])
        now = self.world.loop.now
        while idle_connections:
            since, node = idle_connections.pop()
            if since + self.retire > now and self.world.state.nodes.get(name) is node:
                if node.state in ("up", "draining"):
                    return node
            else:
                node.disconnect()
        return None

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        old = self.world.loop.now - self.retire
        for idle_connections in self.idle.values():
            while idle_connections and idle_connections[0][0] <= old:
                idle_connections.pop(0)[1].disconnect()

    def start(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection or a new one."""
        world = self.world
        name = attempt.endpoint
        now = world.loop.now
        node = world.state.nodes.get(name)
        if node is None:
            return self.engine.attempt_ended(attempt, AttemptResult.NOT_SENT)
        out = attempt.transport_state = AttemptUnderWay(attempt, node)
        way = world.plan.one_way_delay_us(self.number, int(node.zone))
        cut = world.plan.is_partitioned(now - START_US, self.number, int(node.zone))
        if self._take_idle_connection(name) is not None:
            out.linked = True
            return self._send_request(out, way, cut)
        if cut:
            return world.loop.at(
                now + self.timeout, lambda: self.end(out, AttemptResult.CONNECT_FAILED, None, False)
            )
        if not node.connect():
            return world.loop.at(
                now + 2 * way, lambda: self.end(out, AttemptResult.CONNECT_FAILED, None, False)
            )
        out.linked = True
        established_at = now + int(2 * way * node.traits.handshake_round_trips)
        return world.loop.at(established_at, lambda: self._send_request(out, way, False))

    def _send_request(self, out: AttemptUnderWay, way: int, cut: bool) -> None:
        if out.over:
            return  # the attempt was stopped while the connection was established
        out.written = True
        if not cut:
            self.world.loop.at(self.world.loop.now + way, lambda: self.world.arrived(self, out, way))

    def end(self, out: AttemptUnderWay, result: AttemptResult, reply: Reply | None, keep: bool) -> None:
        """End an attempt, unless it has ended; `keep` its connection open for further attempts."""
        if out.over:
            return
        out.over = True
        name = out.attempt.endpoint
        if keep and self.world.state.nodes.get(name) is out.node:
            self.idle.setdefault(name, []).append((self.world.loop.now, out.node))
        elif out.linked:
            out.node.disconnect()
        self.engine.attempt_ended(out.attempt, result, reply)

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        """Stop an attempt; its end is reported to the engine in the next turn."""
        out: AttemptUnderWay = attempt.transport_state
        if out.over:
            return
        out.over = True
        if out.linked:
            out.node.disconnect()
        if out.written:
            out.left = True  # the node sees the close after the request, which may still be in transit
            if out.arrived:
                self.world.state.record_leave(
                    self.world.now, out.node, attempt.request.incoming.payload[0].id
                )
        result = why if out.written or why is AttemptResult.NOT_SENT else AttemptResult.CONNECT_FAILED
        self.world.loop.soon(lambda: self.engine.attempt_ended(attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """End an attempt as not sent unless its request was sent; return whether it was ended."""
        if attempt.transport_state.over or attempt.transport_state.written:
            return False
        self.stop(attempt, AttemptResult.NOT_SENT)
        return True

    # The endpoint list

    def told(self, notice: Notice, at: int) -> None:
        """Apply a notice of a node's state; a notice older than the newest one of that node is ignored."""
        if at < self._latest_notice_us.get(notice.server, 0):
            return
        self._latest_notice_us[notice.server] = at
        self.world.state.record_notice(self.world.now, self.number, notice.server, notice.state)
        shard = self.world.state.nodes[notice.server].shard
        started = notice.started and notice.started + START_US
        node = self.world.state.nodes[notice.server]
        made = Endpoint(notice.server, STATUS_BY_STATE[notice.state], shard, started, zone=node.zone)
        self.engine.apply_endpoint_list(EndpointList(False, (made,)))
