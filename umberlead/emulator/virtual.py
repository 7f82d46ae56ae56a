"""A rehearsal in virtual time: the serving engine and module of each front over emulated servers. Links,
pools and the list are this file's; decisions are the fronts' own."""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.emulator.loop import START_US, Alarm, Loop
from umberlead.emulator.node import FOREVER_US, Job, Node
from umberlead.emulator.outcomes import KEEPS_CONNECTION, RESULT_AFTER_RUN, RESULT_WITHOUT_RUN
from umberlead.emulator.plan import RUN_ON_US as RUN_ON
from umberlead.emulator.plan import (
    ManualDrain,
    NodeStart,
    Notice,
    Plan,
    StateChange,
    parsed_settings,
    zones_table,
)
from umberlead.emulator.records import Records
from umberlead.emulator.world import ScenarioState
from umberlead.load_generator.clients import Try
from umberlead.load_generator.day import Request
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, Attempt, IncomingRequest, Reply
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Settings

TIME_MARGIN_US = 15_000  # us of a request's time that a front keeps to itself, as it does on sockets
RETIRE_PART = 0.6  # of the idle time at which a front closes a kept connection itself
SWEEP_INTERVAL_US = 1_000_000
ZONE_TICK_US = 100_000  # us between looks of what decides by rooms
STATES = {"up": EndpointStatus.UP, "draining": EndpointStatus.DRAINING, "gone": EndpointStatus.GONE}


def parsed_zones(plan: Plan, front: int) -> Any:
    """A front's [rooms], its own room and the others by distance filled in; through the one reader."""
    from umberlead import configuration

    return configuration.parse_zones(configuration.Keys(zones_table(plan, front), "rooms"))


class _AttemptUnderWay:
    """An attempt under way."""

    __slots__ = ("attempt", "node", "linked", "written", "arrived", "over", "left")

    def __init__(self, attempt: Attempt, node: Node) -> None:
        self.attempt, self.node = attempt, node
        self.linked = self.written = self.arrived = self.over = self.left = False


class Front:
    """One front: its engine, and the links that carry its attempts."""

    def __init__(self, number: int, world: "VirtualScenario", settings: Settings) -> None:
        self.number, self.world = number, world
        loop = world.loop
        self.wheel = TimerWheel(lambda: loop.now, self._alarm, 2000)
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
        self.retire = int(world.plan.front_settings["bounds"]["keepalive"] * RETIRE_PART)
        self._news: dict[str, int] = {}  # when what it was told of a server was true

    def _alarm(self, delay: int, what: Callable[[], None]) -> Alarm:
        made = Alarm(what)
        self.world.loop.at(self.world.loop.now + delay, made)
        return made

    def _log(self, event: str, **pairs: Any) -> None:
        if event == "module_error":
            self.world.faults.append(f"front {self.number}: {pairs.get('trace', event)}")

    # Clients

    def take(self, of: Try, block: str, shard: int) -> None:
        r, now = of.of, self.world.loop.now
        until = START_US + of.until
        ask = IncomingRequest(
            r.class_name,
            r.plan,
            r.volume,
            block,
            shard,
            r.units,
            until - TIME_MARGIN_US,
            (of, block),
            r.hosts,
        )
        ticket = self.engine.accept(ask, lambda answer: self.world.answered(of, answer))
        if not ticket.answered:
            self.world.loop.at(max(until, now), partial(self._left, of, ticket))

    def _left(self, of: Try, ticket: Any) -> None:
        if not ticket.answered:
            self.engine.client_left(ticket)
        self.world.left(of)

    # Links

    def _kept(self, name: str) -> Node | None:
        resting, now = self.idle.get(name, []), self.world.loop.now
        while resting:
            since, node = resting.pop()
            if since + self.retire > now and self.world.state.nodes.get(name) is node:
                if node.state in ("up", "draining"):
                    return node
            else:
                node.disconnect()
        return None

    def sweep(self) -> None:
        old = self.world.loop.now - self.retire
        for resting in self.idle.values():
            while resting and resting[0][0] <= old:
                resting.pop(0)[1].disconnect()

    def start(self, attempt: Attempt) -> None:
        world, name, now = self.world, attempt.endpoint, self.world.loop.now
        node = world.state.nodes.get(name)
        if node is None:
            return self.engine.attempt_ended(attempt, AttemptResult.NOT_SENT)
        out = attempt.transport_state = _AttemptUnderWay(attempt, node)
        way = world.plan.one_way_delay_us(self.number, int(node.zone))
        cut = world.plan.is_partitioned(now - START_US, self.number, int(node.zone))
        if self._kept(name) is not None:
            out.linked = True
            return self._write(out, way, cut)
        if cut:
            return world.loop.at(
                now + self.timeout, lambda: self._end(out, AttemptResult.CONNECT_FAILED, None, False)
            )
        if not node.connect():
            return world.loop.at(
                now + 2 * way, lambda: self._end(out, AttemptResult.CONNECT_FAILED, None, False)
            )
        out.linked = True
        up = now + int(2 * way * node.traits.handshake_round_trips)
        return world.loop.at(up, lambda: self._write(out, way, False))

    def _write(self, out: _AttemptUnderWay, way: int, cut: bool) -> None:
        if out.over:
            return  # given up while it came up
        out.written = True
        if not cut:
            self.world.loop.at(self.world.loop.now + way, lambda: self.world.arrived(self, out, way))

    def _end(self, out: _AttemptUnderWay, result: AttemptResult, reply: Reply | None, keep: bool) -> None:
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
        out: _AttemptUnderWay = attempt.transport_state
        if out.over:
            return
        out.over = True
        if out.linked:
            out.node.disconnect()
        if out.written:
            out.left = True  # the server sees the end behind the request, which may still be under way
            if out.arrived:
                self.world.state.record_leave(
                    self.world.now, out.node, attempt.request.incoming.payload[0].id
                )
        result = why if out.written or why is AttemptResult.NOT_SENT else AttemptResult.CONNECT_FAILED
        self.world.loop.soon(lambda: self.engine.attempt_ended(attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        if attempt.transport_state.over or attempt.transport_state.written:
            return False
        self.stop(attempt, AttemptResult.NOT_SENT)
        return True

    # The list

    def told(self, notice: Notice, at: int) -> None:
        """News that is older than what is known is no news: lists carry versions."""
        if at < self._news.get(notice.server, 0):
            return
        self._news[notice.server] = at
        self.world.state.record_notice(self.world.now, self.number, notice.server, notice.state)
        shard = self.world.state.nodes[notice.server].shard
        started = notice.started and notice.started + START_US
        node = self.world.state.nodes[notice.server]
        made = Endpoint(notice.server, STATES[notice.state], shard, started, zone=node.zone)
        self.engine.apply_endpoint_list(EndpointList(False, (made,)))


class GossipNetwork:
    """Fronts' gossip, datagrams between rooms lost where these are cut. `kind` is true, or what a third of
    them does: "liars" hold every room lost whatever they see, "mute" ones say nothing."""

    def __init__(self, world: "VirtualScenario", kind: str) -> None:
        from umberlead.gossip.messages import GossipKeys
        from umberlead.gossip.swim import Gossip

        self.world, self.kind = world, kind
        keys, join = GossipKeys([b"rehearsals' own key" * 2]), ["0:1", "1:1"]
        self.members = [
            Gossip(f"f{n}", f"{n}:1", join, keys, world.plan.seed * 1000 + n, world.loop.now)
            for n in range(len(world.fronts))
        ]
        for front, member in zip(world.fronts, self.members, strict=True):
            member.on_observation = partial(self._heard, front)

    def _heard(self, front: Front, peer: str, room: str, state: Any) -> None:
        front.zones.router.zone_health.record_peer_state(self.world.loop.now, peer, room, state)

    def tick(self) -> None:
        from umberlead.zones.model import ZoneState

        for front, member in zip(self.world.fronts, self.members, strict=True):
            if self.kind == "mute" and front.number % 3 == 0:
                continue
            held = front.zones.router.zone_health.zones
            lies = self.kind == "liars" and front.number % 3 == 0
            member.observations = {n: ZoneState.DOWN if lies else room.state for n, room in held.items()}
            self._send(front.number, member.tick(self.world.loop.now))

    def _send(self, source: int, rows: list[tuple[str, bytes]]) -> None:
        plan, loop = self.world.plan, self.world.loop
        for address, data in rows:
            to = int(address.partition(":")[0])
            if plan.is_partitioned(self.world.now, source, plan.front_zones[to]):
                continue
            way = plan.one_way_delays_us[plan.front_zones[source], plan.front_zones[to]]
            loop.at(loop.now + way, partial(self._got, to, data))

    def _got(self, to: int, data: bytes) -> None:
        self._send(to, self.members[to].receive(self.world.loop.now, data))


class VirtualScenario:
    """One rehearsal."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.loop, self.state = plan, Loop(), ScenarioState(plan)
        self.faults: list[str] = []
        self._armed: dict[str, int] = {}
        self.talk: Any = None
        settings = parsed_settings(plan)
        self.fronts = [Front(n, self, settings) for n in range(plan.fleet.fronts)]

    @property
    def now(self) -> int:
        return self.loop.now - START_US

    def play(self, progress: Callable[[float], None] | None = None) -> Records:
        """To the last answer; `progress` is told the part that is played."""
        plan, loop = self.plan, self.loop
        for birth in plan.node_starts:
            if birth.at_us:
                loop.at(START_US + birth.at_us, partial(self._birth, birth))
            else:
                self._birth(birth)
        first = tuple(
            Endpoint(b.name, EndpointStatus.UP, b.shard, zone=str(b.zone))
            for b in plan.node_starts
            if not b.at_us
        )
        for front in self.fronts:
            front.engine.apply_endpoint_list(EndpointList(True, first))
            for node in first:
                self.state.record_notice(0, front.number, node.name, "up")
        for turn in plan.state_changes:
            loop.at(START_US + turn.at, partial(self._turn, turn))
        for notice in plan.notices:
            loop.at(START_US + notice.at, partial(self.fronts[notice.front].told, notice, notice.since))
        for hand in plan.manual_drains:
            loop.at(START_US + hand.at, partial(self._hand, hand))
        self._next(iter(plan.day.requests))
        end = plan.length_us + RUN_ON
        if "gossip" in plan.front_settings and "rooms" in plan.front_settings:
            self.talk = GossipNetwork(self, str(plan.front_settings["gossip"]))
        if any(front.zones for front in self.fronts):
            self._tick()
        for second in range(0, end, SWEEP_INTERVAL_US):
            loop.run(START_US + second)
            for front in self.fronts:
                front.sweep()
            if progress is not None:
                progress(second / end)
        loop.run(START_US + end)
        self.state.records.sort()
        return self.state.records

    def _tick(self) -> None:
        for front in self.fronts:
            front.zones.tick()
        if self.talk is not None:
            self.talk.tick()
        self.loop.at(self.loop.now + ZONE_TICK_US, self._tick)

    # Clients

    def _next(self, requests: Iterator[Request]) -> None:
        """Arrivals one after the other: a long day must not fill the loop."""
        request = next(requests, None)
        if request is not None:
            self.loop.at(START_US + request.at, partial(self._first, request, requests))

    def _first(self, request: Request, requests: Iterator[Request]) -> None:
        self._ask(self.state.clients.first(request))
        self._next(requests)

    def _ask(self, of: Try) -> None:
        block, shard = self.state.record_request(self.now, of)
        front = self.fronts[of.of.front]
        self.loop.at(self.loop.now + self.plan.client_delay_us, lambda: front.take(of, block, shard))

    def answered(self, of: Try, answer: Answer) -> None:
        body = answer.reply.body.decode() if answer.reply is not None else ""
        kind = answer.kind.value
        self.loop.at(self.loop.now + self.plan.client_delay_us, lambda: self._answer(of, kind, body))

    def _answer(self, of: Try, kind: str, body: str) -> None:
        self._again(self.state.answer(self.now, of, kind, body))

    def left(self, of: Try) -> None:
        self._again(self.state.leave(self.now, of))

    def _again(self, of: Try | None) -> None:
        if of is not None:
            self.loop.at(START_US + of.at, lambda: self._ask(of))

    # Servers

    def _birth(self, birth: NodeStart) -> None:
        self.state.start_node(birth)

    def _turn(self, turn: StateChange) -> None:
        for job in self.state.change_state(self.now, turn):
            self._reset(job)

    def _hand(self, hand: ManualDrain) -> None:
        for front in self.fronts:
            front.engine.set_manual_drain(hand.server, hand.drained, self.loop.now)

    def _reset(self, job: Job) -> None:
        front, out = job.token
        way = self.plan.one_way_delay_us(job.front, int(out.node.zone))
        if not self._cut(front, out.node):
            self.loop.at(self.loop.now + way, lambda: front._end(out, AttemptResult.RESET, None, False))

    def _cut(self, front: Front, node: Node) -> bool:
        return self.plan.is_partitioned(self.now, front.number, int(node.zone))

    def arrived(self, front: Front, out: _AttemptUnderWay, way: int) -> None:
        """A request's last byte is at the server, whoever still waits for it."""
        ask = out.attempt.request.incoming
        of, block = ask.payload
        node = out.node
        word, job = self.state.record_arrival(
            self.now,
            node,
            front.number,
            of.id,
            ask.class_name,
            block,
            ask.shard,
            block if of.of.write else "",
        )
        job.token, out.arrived = (front, out), True
        if out.left:
            self.state.record_leave(self.now, node, of.id)
        if word == "taken":
            return self._arm(node)
        if word == "fallen":
            for lost in self.state.drop_jobs(self.now, node):
                self._reset(lost)
        if self._cut(front, node):
            return
        if word == "astray":
            out.attempt.misdirected = True
        result, keep = RESULT_WITHOUT_RUN[word], word in KEEPS_CONNECTION
        self.loop.at(self.loop.now + way, lambda: front._end(out, result, self._reply(node, job, ""), keep))

    def _arm(self, node: Node) -> None:
        due = node.due()
        if due < self._armed.get(node.name, FOREVER_US):
            self._armed[node.name] = due
            self.loop.at(START_US + due, lambda: self._advance(node))

    def _advance(self, node: Node) -> None:
        self._armed[node.name] = FOREVER_US
        for job in node.advance(self.now):
            self._done(node, job)
        self._arm(node)

    def _done(self, node: Node, job: Job) -> None:
        front, out = job.token
        body = f"{node.name}:{job.id}"
        self.state.record_end(node, job, body)
        result = RESULT_AFTER_RUN[job.end]
        if result is None or self._cut(front, node):
            return
        reply = self._reply(node, job, body if result is AttemptResult.OK else "")
        way = self.plan.one_way_delay_us(front.number, int(node.zone))
        at = max(START_US + job.answer_at_us, self.loop.now) + way
        self.loop.at(at, lambda: front._end(out, result, reply, job.end in KEEPS_CONNECTION))

    def _reply(self, node: Node, job: Job, body: str) -> Reply:
        """What an answer tells: loads always, the meter's figures with what was served."""
        reply = Reply(200 if body else 503, body.encode(), node.report(self.now))
        if body and job.volume:
            reply.used_rate_percent = self.state.meter.percent(self.now, job.volume) + 1
            reply.units_elsewhere = node.elsewhere(job.volume, job.front, job.units)
        return reply


def play(plan: Plan, progress: Callable[[float], None] | None = None) -> tuple[Records, list[str]]:
    """The records of a rehearsal, and the module's own errors in it."""
    world = VirtualScenario(plan)
    return world.play(progress), world.faults
